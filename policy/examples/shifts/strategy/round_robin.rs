use ragwortgrade_policy::decision::{Cause, Decision, Dispatch, Reason, Refusal};
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::Member;
use ragwortgrade_policy::planner::Change;
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::engine::Role;

use super::Strategy;
use super::tracker::Tracker;

/// Sends requests to all endpoints in turn; all engines are mixed.
#[derive(Debug)]
pub(crate) struct RoundRobin {
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
    fn initial_role(&self, _place: usize, _index: usize, _count: usize) -> Role {
        Role::Mixed
    }

    fn observe(&mut self, daemon: usize, event: &Event, _now: Instant) {
        self.daemons[daemon].0.observe(event);
    }

    fn route(&mut self, daemon: usize, request: &Request, _now: Instant) -> Decision {
        let (tracker, next) = &mut self.daemons[daemon];
        let places = if request.model.is_some() {
            tracker.engines(request, false)
        } else {
            tracker.workers(request)
        };
        *next += 1;
        if places.is_empty() {
            return Decision::Refuse(Refusal {
                cause: Cause::NoEndpoint,
                retry_after: None,
            });
        }
        Decision::Dispatch(Dispatch {
            endpoint: tracker.name(places[*next % places.len()]),
            prefill: None,
            priority: request.priority,
            reason: Reason::LowestCost,
            alternatives: Vec::new(),
        })
    }

    fn plan(
        &mut self,
        _place: usize,
        _peers: &[usize],
        _part: f64,
        _members: Vec<Member>,
        _now: Instant,
    ) -> Vec<Change> {
        Vec::new()
    }
}
