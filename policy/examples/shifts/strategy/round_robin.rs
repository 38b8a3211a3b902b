use ragwortgrade_policy::decision::{Cause, Decision, Dispatch, Reason, Refusal};
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::Member;
use ragwortgrade_policy::planner::Change;
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::engine::Role;

use super::Strategy;
use super::tracker::Tracker;

/// Baseline that routes requests to all endpoints in turn; all engines have the mixed role.
#[derive(Debug)]
pub(crate) struct RoundRobin {
    /// Endpoints known to each daemon, and its position in the rotation.
    daemons: Vec<(Tracker, usize)>,
}

impl RoundRobin {
    pub(crate) fn new(daemons: usize) -> Self {
        Self {
            daemons: (0..daemons)
                .map(|daemon| (Tracker::default(), daemon))
                .collect(),
        }
    }
}

impl Strategy for RoundRobin {
    fn initial_role(&self, _data_centre: usize, _index: usize, _count: usize) -> Role {
        Role::Mixed
    }

    fn observe(&mut self, daemon: usize, event: &Event, _now: Instant) {
        self.daemons[daemon].0.observe(event);
    }

    fn route(&mut self, daemon: usize, request: &Request, _now: Instant) -> Decision {
        let (tracker, next) = &mut self.daemons[daemon];
        let indices = if request.model.is_some() {
            tracker.engines(request, false)
        } else {
            tracker.workers(request)
        };
        *next += 1;
        if indices.is_empty() {
            return Decision::Refuse(Refusal {
                cause: Cause::NoEndpoint,
                retry_after: None,
            });
        }
        Decision::Dispatch(Dispatch {
            endpoint: tracker.name(indices[*next % indices.len()]),
            prefill: None,
            priority: request.priority,
            reason: Reason::LowestCost,
            alternatives: Vec::new(),
        })
    }

    fn plan(
        &mut self,
        _data_centre: usize,
        _peers: &[usize],
        _fraction: f64,
        _members: Vec<Member>,
        _now: Instant,
    ) -> Vec<Change> {
        Vec::new()
    }
}
