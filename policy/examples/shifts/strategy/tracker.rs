use std::collections::HashMap;

use ragwortgrade_policy::event::{Endpoint, Event};
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Load, Role};

/// What one daemon of a baseline knows: the latest reports and its own dispatches since.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tracker {
    endpoints: Vec<Known>,
    places: HashMap<Name, usize>,
    running: HashMap<u64, usize>,
}

#[derive(Clone, Debug)]
struct Known {
    endpoint: Endpoint,
    load: Option<Load>,
    available: bool,
    in_flight: u32,
    /// Own dispatches, with their prompt tokens, that the latest report does not contain.
    recent: Vec<(Instant, u32)>,
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
                if let Some(place) = self.places.get(&load.engine) {
                    let known = &mut self.endpoints[*place];
                    known.recent.retain(|(at, _)| at > observed);
                    known.load = Some(load.clone());
                }
            }
            Event::Finished { request, .. } => {
                if let Some(place) = self.running.remove(request) {
                    let known = &mut self.endpoints[place];
                    known.in_flight = known.in_flight.saturating_sub(1);
                }
            }
            _ => {}
        }
    }

    fn join(&mut self, endpoint: &Endpoint) {
        if self.places.contains_key(&endpoint.id) {
            return;
        }
        self.places
            .insert(endpoint.id.clone(), self.endpoints.len());
        self.endpoints.push(Known {
            endpoint: endpoint.clone(),
            load: None,
            available: true,
            in_flight: 0,
            recent: Vec::new(),
        });
    }

    fn set_available(&mut self, endpoint: &Name, available: bool) {
        if let Some(place) = self.places.get(endpoint) {
            self.endpoints[*place].available = available;
        }
    }

    /// Engines that may compute (`prefill`) or answer the request.
    pub(crate) fn engines(&self, request: &Request, prefill: bool) -> Vec<usize> {
        let fits = |known: &Known| {
            known.available
                && !request.avoid.contains(&known.endpoint.id)
                && known.load.as_ref().is_some_and(|load| {
                    !load.draining && !load.changing && (load.role == Role::Prefill) == prefill
                })
        };
        (0..self.endpoints.len())
            .filter(|place| fits(&self.endpoints[*place]))
            .collect()
    }

    /// Workers that run the request's service.
    pub(crate) fn workers(&self, request: &Request) -> Vec<usize> {
        let fits = |known: &Known| {
            known.available
                && known.endpoint.service.as_ref() == Some(&request.service)
                && !request.avoid.contains(&known.endpoint.id)
        };
        (0..self.endpoints.len())
            .filter(|place| fits(&self.endpoints[*place]))
            .collect()
    }

    /// The endpoint with the lowest score; each daemon begins at another one.
    pub(crate) fn least(
        places: &[usize],
        start: usize,
        score: impl Fn(usize) -> u64,
    ) -> Option<usize> {
        let count = places.len();
        (0..count)
            .map(|offset| places[(start + offset) % count])
            .min_by_key(|place| score(*place))
    }

    pub(crate) fn queued_tokens(&self, place: usize) -> u64 {
        let known = &self.endpoints[place];
        let own: u64 = known
            .recent
            .iter()
            .map(|(_, tokens)| u64::from(*tokens))
            .sum();
        own + known
            .load
            .as_ref()
            .map_or(0, |load| load.queued_prefill_tokens)
    }

    pub(crate) fn sequences(&self, place: usize) -> u64 {
        let known = &self.endpoints[place];
        let reported = known.load.as_ref().map_or(0, |load| load.sequences);
        u64::from(reported) + known.recent.len() as u64
    }

    pub(crate) fn in_flight(&self, place: usize) -> u64 {
        u64::from(self.endpoints[place].in_flight)
    }

    pub(crate) fn name(&self, place: usize) -> Name {
        self.endpoints[place].endpoint.id.clone()
    }

    pub(crate) fn note_prompt(&mut self, place: usize, tokens: u32, now: Instant) {
        self.endpoints[place].recent.push((now, tokens));
    }

    pub(crate) fn note_running(&mut self, place: usize, request: u64) {
        self.endpoints[place].in_flight += 1;
        self.running.insert(request, place);
    }
}
