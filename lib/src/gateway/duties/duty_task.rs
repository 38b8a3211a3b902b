use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::duties::{Call, Outcome};
use ragwortgrade_schema::Name;

/// The time during which this daemon may act as the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token of the holder; a new one means that the tenure is a new one.
    pub token: u64,
    /// Time from which the holder may act.
    pub since: Instant,
    /// Number of restores of the store that this daemon has noticed.
    pub store_restores: u64,
}

/// Task of the holder other than the usage reports.
///
/// The methods are called on the thread of the gateway and must not block.
pub trait DutyTask: std::fmt::Debug {
    /// Returns the calls that are due; called once a second while the lease is held. They are made
    /// one after the other, and the rest is dropped when the lease ends.
    fn due_calls(&self, tenure: Tenure, now: Instant) -> Vec<Call>;

    /// Handles the outcome of a call that was made.
    fn handle_outcome(&self, call: &Call, outcome: Outcome, now: Instant);

    /// Handles the end of a tenure; calls that were due and not made are dropped.
    fn handle_end(&self) {}

    /// Returns the section `demand` of the datagram that this daemon sends to the candidates about
    /// once a second, if it has one. At most [`DEMAND_BYTES_MAX`](super::DEMAND_BYTES_MAX) bytes are
    /// sent.
    fn demand(&self, _now: Instant) -> Option<Vec<u8>> {
        None
    }

    /// Handles the section `demand` that a daemon, which may be this one, has sent. Called on
    /// candidates only.
    fn receive_demand(&self, _daemon: &Name, _demand: &[u8], _now: Instant) {}
}
