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

/// Decisions of all daemons of a deployment, as the experiment asks for them.
///
/// A strategy keeps the knowledge of each daemon apart, as separate processes would.
pub(crate) trait Strategy {
    /// Role of the `index`th of `count` engines of data centre `place` at the start.
    fn initial_role(&self, place: usize, index: usize, count: usize) -> Role;

    /// Tells one daemon what it learned.
    fn observe(&mut self, daemon: usize, event: &Event, now: Instant);

    /// Asks one daemon where a request goes.
    fn route(&mut self, daemon: usize, request: &Request, now: Instant) -> Decision;

    /// Asks for role changes in data centre `place`; `peers` are the daemons that can be reached
    /// from it, and `part` is its part of the engines that these use.
    fn plan(
        &mut self,
        place: usize,
        peers: &[usize],
        part: f64,
        members: Vec<Member>,
        now: Instant,
    ) -> Vec<Change>;
}
