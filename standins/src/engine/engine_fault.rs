use serde::{Deserialize, Serialize};

/// Faults of an engine, put in force by `POST /debug/fault`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFault {
    /// The next accepted order crashes the engine in the middle of the change.
    pub crash_in_change: bool,
    /// Completions that remain to be answered with another attempt's identity and tokens.
    pub crossed_answers: u32,
    /// Orders that remain to be accepted without an answer.
    pub lost_order_answers: u32,
    /// Delay before each order takes effect, in milliseconds.
    pub order_delay_ms: u64,
}
