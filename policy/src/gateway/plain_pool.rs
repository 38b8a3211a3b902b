use std::collections::HashMap;

use ragwortgrade_schema::Name;

use super::{CallOutcome, Endpoint, Health};
use crate::Instant;

/// Cost of using an endpoint in another data centre, in requests in flight: a local endpoint is
/// preferred until it has this many more.
const CROSS_DATA_CENTRE_COST: f64 = 2.0;
/// Cost of a failure rate of 1, in requests in flight.
const FAILURE_COST: f64 = 20.0;
/// Mean response time that costs as much as one request in flight, in ms: of two endpoints with
/// equally many requests, the faster one is used.
const RESPONSE_MS_PER_REQUEST: f64 = 20.0;
/// Weight of one response in the moving average of response times.
const MEAN_WEIGHT: f64 = 0.2;

/// Endpoints of plain services and this daemon's requests on them.
#[derive(Debug, Default)]
pub struct PlainPool {
    endpoints: HashMap<Name, EndpointLoad>,
}

#[derive(Debug, Default)]
struct EndpointLoad {
    in_flight: u32,
    /// Moving average of the response time, in ms.
    response_ms: f64,
    health: Health,
}

impl PlainPool {
    /// Chooses the endpoint with the lowest cost, excluding those in `tried`.
    #[must_use]
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Endpoint>,
        tried: &[Name],
        data_centre: &Name,
        now: Instant,
    ) -> Option<&'a Endpoint> {
        let mut best: Option<(f64, &Endpoint)> = None;
        for endpoint in candidates.filter(|it| !tried.contains(&it.id)) {
            let cost = self.cost(endpoint, data_centre, now);
            if best.is_none_or(|(best_cost, best_endpoint)| {
                cost < best_cost || (cost <= best_cost && endpoint.id < best_endpoint.id)
            }) {
                best = Some((cost, endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    fn cost(&self, endpoint: &Endpoint, data_centre: &Name, now: Instant) -> f64 {
        /// Ranks paused endpoints behind all others but leaves them usable when there is no other.
        const PAUSED_COST: f64 = 1e6;
        let cross_data_centre_cost = if endpoint.data_centre == *data_centre {
            0.0
        } else {
            CROSS_DATA_CENTRE_COST
        };
        let Some(load) = self.endpoints.get(&endpoint.id) else {
            return cross_data_centre_cost;
        };
        let paused_cost = if load.health.is_usable(now) {
            0.0
        } else {
            PAUSED_COST
        };
        let response_time_cost = load.response_ms / RESPONSE_MS_PER_REQUEST;
        f64::from(load.in_flight)
            + response_time_cost
            + cross_data_centre_cost
            + paused_cost
            + load.health.failure_rate() * FAILURE_COST
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, id: &Name, now: Instant) {
        let load = self.endpoints.entry(id.clone()).or_default();
        load.in_flight += 1;
        load.health.begin_trial(now);
    }

    /// Records how a request ended.
    pub fn ended(&mut self, id: &Name, outcome: CallOutcome, now: Instant) {
        let Some(load) = self.endpoints.get_mut(id) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Done { millis } => {
                load.response_ms += (millis - load.response_ms) * MEAN_WEIGHT;
                load.health.succeeded();
            }
            CallOutcome::Unreachable => load.health.unreachable(now),
            CallOutcome::Failed => load.health.failed(now),
            CallOutcome::Rejected | CallOutcome::Abandoned => {}
        }
    }

    /// Removes endpoints that are no longer registered, unless this daemon has requests there.
    pub fn retain(&mut self, is_registered: impl Fn(&Name) -> bool) {
        self.endpoints
            .retain(|id, load| load.in_flight > 0 || is_registered(id));
    }
}
