use super::LostRun;
use crate::Instant;

/// What one daemon knows about crashes of endpoints, as it is sent to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Runs that were lost in crashes.
    pub lost_runs: Vec<LostRun>,
    /// Suspected identities with which an output has begun, and when.
    pub begun: Vec<(u64, Instant)>,
}

impl Evidence {
    /// Returns whether there is nothing to send.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.lost_runs.is_empty() && self.begun.is_empty()
    }
}
