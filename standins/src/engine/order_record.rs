use ragwortgrade_schema::engine::{Order, Rejection};
use serde::{Deserialize, Serialize};

/// Order as an engine received it, for audits in tests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Name of the engine.
    pub engine: String,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Unix time of the decision in milliseconds.
    pub at_ms: u64,
    /// The received order.
    pub order: Order,
    /// Highest fencing token accepted before this order.
    pub last_fence: u64,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// Reason for the rejection.
    pub reason: Option<Rejection>,
    /// Whether an earlier order was still in progress.
    pub during_change: bool,
    /// Number of sequences that the role change interrupted.
    pub interrupted: u32,
}
