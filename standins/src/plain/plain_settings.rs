use super::PlainFault;

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Listen address as `ip:port`; port 0 selects a free port.
    pub address: String,
    /// Name of the endpoint in its responses.
    pub name: String,
    /// Duration of each call in milliseconds.
    pub delay_ms: u64,
    /// Initial fault.
    pub fault: PlainFault,
    /// File to which effects are appended as JSON lines.
    pub effect_log: Option<String>,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            name: "plain".to_owned(),
            delay_ms: 0,
            fault: PlainFault::None,
            effect_log: None,
        }
    }
}
