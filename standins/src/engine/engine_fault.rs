use serde::{Deserialize, Serialize};

/// Faults of an engine, injected by `POST /debug/fault`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFault {
    /// The next order that changes the engine crashes it in the middle of the change.
    pub crash_in_change: bool,
    /// Number of completions left to answer with another attempt's id and tokens.
    pub crossed_answers: u32,
    /// Number of orders left whose responses are lost.
    pub lost_order_answers: u32,
    /// Delay before each order is processed, in milliseconds.
    pub order_delay_ms: u64,
}
