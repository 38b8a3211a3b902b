use std::time::Instant;

use crate::target::Target;

/// Action that recovers from a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Restart the daemon or engine.
    Start,
    /// Resume the paused process.
    Resume,
    /// Wait for the end of a drain, then restart the daemon.
    FinishDrain {
        /// Time at which the daemon is killed if it has not exited.
        until: Instant,
    },
    /// Restore the relay's connections.
    Open,
    /// Clear the fault of the key-value service.
    Restore,
    /// Roll the key-value service back to its snapshot.
    RollBack,
    /// Check the work that a leaving engine received, then restart it as a live one.
    FinishLeaving {
        /// Unix time in milliseconds at which the engine began to leave.
        since_ms: u64,
    },
    /// Only release the target.
    Release,
}

/// Scheduled recovery from a failure.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// Time at which the action is due.
    pub(crate) at: Instant,
    /// Target of the failure, which stays reserved until then.
    pub(crate) target: Target,
    /// Action to perform.
    pub(crate) action: Action,
}
