use super::PlainFault;

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// `ip:port`; port 0 lets the system choose.
    pub address: String,
    /// Name of the endpoint, in its answers.
    pub name: String,
    /// Duration of each call in milliseconds.
    pub delay_ms: u64,
    /// Fault that the first calls meet.
    pub fault: PlainFault,
    /// File to which effects are appended.
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
