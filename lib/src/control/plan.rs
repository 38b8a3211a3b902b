use ragwortgrade_policy::planner::Change;
use ragwortgrade_policy::{Fleet, Instant, Planner};

/// Decides on changes of engines; called only while the daemon holds the lease.
pub trait Plan: Send {
    /// Returns the changes to order now, usually none.
    fn plan(&mut self, fleet: &Fleet<'_>, now: Instant) -> Vec<Change>;
}

impl Plan for Planner {
    fn plan(&mut self, fleet: &Fleet<'_>, now: Instant) -> Vec<Change> {
        Self::plan(self, fleet, now)
    }
}
