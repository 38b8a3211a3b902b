use ragwortgrade_schema::engine::{Order, Rejection};
use serde::{Deserialize, Serialize};

/// An order as an engine received it, for the judgement of a test.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Name of the engine.
    pub engine: String,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// The order.
    pub order: Order,
    /// Highest fencing token accepted before.
    pub last_fence: u64,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// Why it was not.
    pub reason: Option<Rejection>,
    /// Whether another order was being carried out.
    pub during_change: bool,
    /// Sequences that the change interrupted.
    pub interrupted: u32,
}
