use std::collections::HashMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Load, Role};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use crate::decision::{Alternative, Cause, Decision, Dispatch, Reason, Refusal};
use crate::event::{Endpoint, Event};
use crate::{Instant, Request};

/// Chooses the endpoint of each request of one daemon.
#[derive(Debug)]
pub struct Router {
    data_centre: Name,
    random: ChaCha8Rng,
    endpoints: HashMap<Name, Candidate>,
    running: HashMap<u64, Name>,
}

#[derive(Debug)]
struct Candidate {
    endpoint: Endpoint,
    load: Option<Load>,
    leaving: bool,
    reachable: bool,
    in_flight: u32,
}

impl Router {
    /// Opens a router for a daemon in `data_centre`; equal seeds and events give equal decisions.
    #[must_use]
    pub fn open(data_centre: Name, seed: u64) -> Self {
        Self {
            data_centre,
            random: ChaCha8Rng::seed_from_u64(seed),
            endpoints: HashMap::new(),
            running: HashMap::new(),
        }
    }

    /// Opens a router whose engines have the speeds of `cost`.
    #[must_use]
    pub fn open_with(data_centre: Name, seed: u64, _cost: crate::CostModel) -> Self {
        Self::open(data_centre, seed)
    }

    /// Returns the recent demand that this daemon saw, for each model.
    #[must_use]
    pub fn demand(&self, _now: Instant) -> Vec<crate::fleet::Demand> {
        Vec::new()
    }

    /// Takes in what the daemon learned at `now`.
    pub fn observe(&mut self, event: Event, _now: Instant) {
        match event {
            Event::Joined(endpoint) => {
                let candidate = Candidate {
                    endpoint: endpoint.clone(),
                    load: None,
                    leaving: false,
                    reachable: true,
                    in_flight: 0,
                };
                self.endpoints.entry(endpoint.id).or_insert(candidate);
            }
            Event::Left { endpoint } => {
                self.endpoints.remove(&endpoint);
            }
            Event::Leaving { endpoint, leaving } => {
                if let Some(candidate) = self.endpoints.get_mut(&endpoint) {
                    candidate.leaving = leaving;
                }
            }
            Event::Reachable {
                endpoint,
                reachable,
            } => {
                if let Some(candidate) = self.endpoints.get_mut(&endpoint) {
                    candidate.reachable = reachable;
                }
            }
            Event::Reported { load, .. } => {
                if let Some(candidate) = self.endpoints.get_mut(&load.engine) {
                    candidate.load = Some(load);
                }
            }
            Event::Finished { request, .. } => self.finish(request),
            Event::Cached { .. }
            | Event::FirstToken { .. }
            | Event::Prefilled { .. }
            | Event::Daemons { .. }
            | Event::Configured(_) => {}
        }
    }

    /// Chooses where `request` goes at `now`; a dispatch counts as in flight from here on.
    pub fn route(&mut self, request: &Request, _now: Instant) -> Decision {
        let mut alternatives = Vec::new();
        for candidate in self.endpoints.values() {
            if candidate.serves(request) {
                let distance =
                    f32::from(u8::from(candidate.endpoint.data_centre != self.data_centre));
                let tie_break: f32 = self.random.random();
                alternatives.push(Alternative {
                    endpoint: candidate.endpoint.id.clone(),
                    cost_ms: candidate.in_flight as f32 + distance + tie_break,
                });
            }
        }
        alternatives.sort_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms));
        let Some(best) = alternatives.first() else {
            return Decision::Refuse(Refusal {
                cause: Cause::NoEndpoint,
                retry_after: None,
            });
        };
        let endpoint = best.endpoint.clone();
        if let Some(candidate) = self.endpoints.get_mut(&endpoint) {
            candidate.in_flight += 1;
        }
        self.running.insert(request.id, endpoint.clone());
        Decision::Dispatch(Dispatch {
            endpoint,
            prefill: None,
            priority: request.priority,
            reason: if alternatives.len() == 1 {
                Reason::OnlyCandidate
            } else {
                Reason::LowestCost
            },
            alternatives,
        })
    }

    fn finish(&mut self, request: u64) {
        let Some(endpoint) = self.running.remove(&request) else {
            return;
        };
        if let Some(candidate) = self.endpoints.get_mut(&endpoint) {
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
        }
    }
}

impl Candidate {
    fn serves(&self, request: &Request) -> bool {
        if self.leaving || !self.reachable || request.avoid.contains(&self.endpoint.id) {
            return false;
        }
        match (&request.model, &self.endpoint.service) {
            (Some(model), None) => self.load.as_ref().is_some_and(|load| {
                !load.draining
                    && !load.changing
                    && load.role != Role::Prefill
                    && load.models.iter().any(|loaded| loaded.name == *model)
            }),
            (None, Some(service)) => *service == request.service,
            _ => false,
        }
    }
}
