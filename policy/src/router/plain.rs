use super::Router;
use super::pools::Key;
use crate::Request;
use crate::decision::{Alternative, Cause, Decision, Dispatch, Reason, Refusal};

impl Router {
    /// Endpoints sampled for a plain call in this data centre and in the others.
    const ENDPOINT_SAMPLES: (usize, usize) = (2, 2);
    /// Penalty for each of this daemon's calls in flight, in ms. Two calls cost more than the round
    /// trip to another data centre, so that calls move there once a local endpoint is busy.
    const IN_FLIGHT_PENALTY_MS: f64 = 2.0;

    /// Chooses the sampled endpoint with the lowest sum of round trip and penalty for calls in
    /// flight.
    pub(super) fn route_plain(&mut self, request: &Request) -> Decision {
        let key = Key::Plain(request.service.clone());
        let mut sample = Vec::new();
        self.pools
            .sample(&key, Self::ENDPOINT_SAMPLES, &mut self.random, &mut sample);
        sample.retain(|slot| {
            let id = &self.candidates[*slot].endpoint.id;
            !request.avoid.contains(id)
        });
        let cost = |slot: &usize| {
            let in_flight = f64::from(self.candidates[*slot].in_flight);
            (self.round_trip_ms(*slot) + Self::IN_FLIGHT_PENALTY_MS * in_flight) as f32
        };
        let mut costs: Vec<_> = sample.iter().map(|slot| (*slot, cost(slot))).collect();
        costs.sort_by(|left, right| left.1.total_cmp(&right.1));
        let Some((best, _)) = costs.first().copied() else {
            return Decision::Refuse(Refusal {
                cause: Cause::NoEndpoint,
                retry_after: None,
            });
        };
        self.begin(request, best, None);
        let alternatives = costs.iter().map(|(slot, cost_ms)| Alternative {
            endpoint: self.endpoint_id(*slot),
            cost_ms: *cost_ms,
        });
        Decision::Dispatch(Dispatch {
            endpoint: self.endpoint_id(best),
            prefill: None,
            priority: request.priority,
            reason: if costs.len() == 1 {
                Reason::OnlyCandidate
            } else {
                Reason::LowestCost
            },
            alternatives: alternatives.collect(),
        })
    }
}
