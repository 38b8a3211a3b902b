use std::time::Duration;

use ragwortgrade_policy::gateway::MemoryPlan;

/// Limits on what callers may hold of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// How the memory of the machine is divided.
    pub memory: MemoryPlan,
    /// Maximum time for which a body may not progress.
    pub body_idle: Duration,
    /// Maximum time for a whole body.
    pub body_timeout: Duration,
    /// Maximum time for which a caller may read nothing of its response.
    pub unread_timeout: Duration,
}
