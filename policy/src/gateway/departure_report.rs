use ragwortgrade_schema::Name;

use crate::Instant;

/// That an endpoint said in a response that it leaves, as it is sent to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartureReport {
    /// Endpoint that leaves.
    pub endpoint: Name,
    /// Start of the process that leaves, in Unix ms, if it is known.
    pub started_ms: Option<u64>,
    /// When the last such response arrived.
    pub said_at: Instant,
}
