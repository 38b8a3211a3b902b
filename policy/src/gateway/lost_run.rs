use ragwortgrade_schema::Name;

use crate::Instant;

/// A run that an endpoint lost in a crash before its output had begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// Endpoint that crashed.
    pub endpoint: Name,
    /// Unix time of its start in ms, which tells its crashes apart; 0 if not known.
    pub endpoint_started_ms: u64,
    /// When the run was lost.
    pub at: Instant,
    /// Identities of the request that may have caused the crash, the most specific one last.
    pub suspects: Vec<u64>,
}

impl LostRun {
    pub(super) fn is_same_crash(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.endpoint_started_ms == other.endpoint_started_ms
    }
}
