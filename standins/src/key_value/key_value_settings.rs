/// Settings of the key-value service.
#[derive(Clone, Debug)]
pub struct KeyValueSettings {
    /// Listen address as `ip:port`; port 0 selects a free port.
    pub address: String,
    /// Writes and lease calls per second, with bursts of one second.
    pub writes_per_second: f64,
    /// Reads, lists and watches per second, with bursts of one second.
    pub reads_per_second: f64,
}

impl Default for KeyValueSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            writes_per_second: 400.0,
            reads_per_second: 2_000.0,
        }
    }
}
