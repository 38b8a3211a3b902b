/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct WeightsSettings {
    /// Listen address as `ip:port`; port 0 selects a free port.
    pub address: String,
    /// Fetches per second, with bursts of one second.
    pub fetches_per_second: f64,
    /// Size of each model's or adapter's weights.
    pub bytes: u64,
    /// Simulated time to copy the weights, in milliseconds.
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
