/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct WeightsSettings {
    /// `ip:port`; port 0 lets the system choose.
    pub address: String,
    /// Fetches per second, with bursts of one second.
    pub fetches_per_second: f64,
    /// Size of each set of weights.
    pub bytes: u64,
    /// Time to copy one set of weights, in milliseconds.
    pub fetch_ms: u64,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            fetches_per_second: 4.0,
            bytes: 16_000_000_000,
            fetch_ms: 200,
        }
    }
}
