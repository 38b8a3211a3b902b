use std::collections::HashMap;

use ragwortgrade_policy::event::{Endpoint, Event};
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Load, Role};

/// Endpoint state of one daemon of a baseline: the latest load reports and its own dispatches
/// since.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tracker {
    endpoints: Vec<EndpointState>,
    indices: HashMap<Name, usize>,
    running: HashMap<u64, usize>,
}

#[derive(Clone, Debug)]
struct EndpointState {
    endpoint: Endpoint,
    load: Option<Load>,
    is_available: bool,
    in_flight: u32,
    /// Time and prompt tokens of own dispatches that the latest load report does not include yet.
    unreported: Vec<(Instant, u32)>,
}

impl Tracker {
    pub(crate) fn observe(&mut self, event: &Event) {
        match event {
            Event::Joined(endpoint) => self.join(endpoint),
            Event::Leaving { endpoint, leaving } => self.set_available(endpoint, !leaving),
            Event::Reachable {
                endpoint,
                reachable,
            } => self.set_available(endpoint, *reachable),
            Event::Reported { load, observed } => {
                if let Some(index) = self.indices.get(&load.engine) {
                    let state = &mut self.endpoints[*index];
                    state.unreported.retain(|(at, _)| at > observed);
                    state.load = Some(load.clone());
                }
            }
            Event::Finished { request, .. } => {
                if let Some(index) = self.running.remove(request) {
                    let state = &mut self.endpoints[index];
                    state.in_flight = state.in_flight.saturating_sub(1);
                }
            }
            _ => {}
        }
    }

    fn join(&mut self, endpoint: &Endpoint) {
        if self.indices.contains_key(&endpoint.id) {
            return;
        }
        self.indices
            .insert(endpoint.id.clone(), self.endpoints.len());
        self.endpoints.push(EndpointState {
            endpoint: endpoint.clone(),
            load: None,
            is_available: true,
            in_flight: 0,
            unreported: Vec::new(),
        });
    }

    fn set_available(&mut self, endpoint: &Name, is_available: bool) {
        if let Some(index) = self.indices.get(endpoint) {
            self.endpoints[*index].is_available = is_available;
        }
    }

    /// Returns the engines that may run a remote prefill (`is_prefill`) or decode the request.
    pub(crate) fn engines(&self, request: &Request, is_prefill: bool) -> Vec<usize> {
        let fits = |state: &EndpointState| {
            state.is_available
                && !request.avoid.contains(&state.endpoint.id)
                && state.load.as_ref().is_some_and(|load| {
                    !load.draining && !load.changing && (load.role == Role::Prefill) == is_prefill
                })
        };
        (0..self.endpoints.len())
            .filter(|index| fits(&self.endpoints[*index]))
            .collect()
    }

    /// Returns the available workers of the request's service.
    pub(crate) fn workers(&self, request: &Request) -> Vec<usize> {
        let fits = |state: &EndpointState| {
            state.is_available
                && state.endpoint.service.as_ref() == Some(&request.service)
                && !request.avoid.contains(&state.endpoint.id)
        };
        (0..self.endpoints.len())
            .filter(|index| fits(&self.endpoints[*index]))
            .collect()
    }

    /// Returns the endpoint with the lowest score. Of equal scores, the first one from `start`
    /// counts, so that ties are spread over the endpoints.
    pub(crate) fn least_loaded(
        indices: &[usize],
        start: usize,
        score: impl Fn(usize) -> u64,
    ) -> Option<usize> {
        let count = indices.len();
        (0..count)
            .map(|offset| indices[(start + offset) % count])
            .min_by_key(|index| score(*index))
    }

    pub(crate) fn queued_tokens(&self, index: usize) -> u64 {
        let state = &self.endpoints[index];
        let own: u64 = state
            .unreported
            .iter()
            .map(|(_, tokens)| u64::from(*tokens))
            .sum();
        own + state
            .load
            .as_ref()
            .map_or(0, |load| load.queued_prefill_tokens)
    }

    pub(crate) fn sequences(&self, index: usize) -> u64 {
        let state = &self.endpoints[index];
        let reported = state.load.as_ref().map_or(0, |load| load.sequences);
        u64::from(reported) + state.unreported.len() as u64
    }

    pub(crate) fn in_flight(&self, index: usize) -> u64 {
        u64::from(self.endpoints[index].in_flight)
    }

    pub(crate) fn name(&self, index: usize) -> Name {
        self.endpoints[index].endpoint.id.clone()
    }

    pub(crate) fn record_prompt(&mut self, index: usize, tokens: u32, now: Instant) {
        self.endpoints[index].unreported.push((now, tokens));
    }

    pub(crate) fn record_running(&mut self, index: usize, request: u64) {
        self.endpoints[index].in_flight += 1;
        self.running.insert(request, index);
    }
}
