use std::time::Duration;

use futures::future::LocalBoxFuture;
use ragwortgrade_policy::gateway::duties::Call;
use ragwortgrade_schema::Name;

/// Identity of the holder, which each duty call carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStamp {
    /// Name of the holder.
    pub holder: Name,
    /// Its fencing token.
    pub token: u64,
}

/// Answer of the platform to a duty call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call was executed.
    Accepted,
    /// The call conflicts with the state of the platform: it saw a higher token, or has no workers.
    Conflict,
    /// The call was not executed because of the rate of calls or an overload.
    Throttled,
    /// There was no usable response. The call may be executed, also seconds later.
    Unknown,
}

/// Interface of the platform for duties.
pub trait DutyPlatform: std::fmt::Debug {
    /// Makes a call; there is no answer after `timeout`.
    fn call<'a>(
        &'a self,
        stamp: &'a DutyStamp,
        call: &'a Call,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, DutyAnswer>;
}
