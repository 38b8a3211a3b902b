use ragwortgrade_policy::decision::Decision;
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::Member;
use ragwortgrade_policy::planner::Change;
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::engine::Role;

mod least_loaded;
mod ragwortgrade;
mod round_robin;
mod tracker;

pub(crate) use least_loaded::LeastLoaded;
pub(crate) use ragwortgrade::Ragwortgrade;
pub(crate) use round_robin::RoundRobin;

/// Routing and planning policy of all daemons of a deployment.
///
/// An implementation keeps separate state for each daemon, because daemons are separate processes
/// and do not see each other's events.
pub(crate) trait Strategy {
    /// Returns the role that the `index`th of `count` engines of a data centre has at the start.
    fn initial_role(&self, data_centre: usize, index: usize, count: usize) -> Role;

    /// Updates the state of one daemon with an event.
    fn observe(&mut self, daemon: usize, event: &Event, now: Instant);

    /// Returns the routing decision of one daemon for a request.
    fn route(&mut self, daemon: usize, request: &Request, now: Instant) -> Decision;

    /// Returns the role changes to order in a data centre. `peers` are the daemons that it can
    /// reach, and `fraction` is its fraction of the serving engines in the data centres of these
    /// daemons.
    fn plan(
        &mut self,
        data_centre: usize,
        peers: &[usize],
        fraction: f64,
        members: Vec<Member>,
        now: Instant,
    ) -> Vec<Change>;
}
