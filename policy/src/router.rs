use std::collections::HashMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{CacheEvent, CacheKind, Load};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use crate::decision::Decision;
use crate::demand_meter::DemandMeter;
use crate::event::{Endpoint, Event};
use crate::fleet::Demand;
use crate::output_estimate::OutputEstimate;
use crate::prefix_index::{Holder, PrefixIndex};
use crate::rate::Rate;
use crate::shares::Shares;
use crate::{CostModel, Instant, Request};

mod backlog;
mod candidate;
mod choice;
mod model;
mod plain;
mod pools;

use candidate::Candidate;
use pools::{Key, Pools};

/// Chooses the endpoint of each request of one daemon.
#[derive(Debug)]
pub struct Router {
    data_centre: Name,
    random: ChaCha8Rng,
    cost: CostModel,
    slots: HashMap<Name, usize>,
    candidates: Vec<Candidate>,
    /// Slots of endpoints that left, for use by new ones.
    free: Vec<usize>,
    pools: Pools,
    prefixes: PrefixIndex,
    outputs: OutputEstimate,
    demand: DemandMeter,
    running: HashMap<u64, Running>,
    /// Live daemons that route to the same endpoints, this one included.
    daemons: u32,
    shares: Shares,
    traffic: Traffic,
}

/// A request between its dispatch and its end.
#[derive(Debug)]
struct Running {
    endpoint: usize,
    prefill: Option<usize>,
    service: Name,
    model: Option<Name>,
    deadline: Instant,
    answering: bool,
}

/// What this daemon sends to all engines; the other daemons are taken to send the same.
#[derive(Debug)]
struct Traffic {
    /// Prompt tokens to prefill engines.
    prefill: Rate,
    /// Sequences to decoding engines.
    sequences: Rate,
    /// Prompt tokens computed in place.
    in_place: Rate,
    /// Steps over the gap limit.
    long_steps: Rate,
}

impl Router {
    /// Window of the traffic rates: long against the noise of one daemon's arrivals.
    const TRAFFIC_MS: f64 = 5_000.0;

    /// Opens a router for a daemon in `data_centre`; equal seeds and events give equal decisions.
    #[must_use]
    pub fn open(data_centre: Name, seed: u64) -> Self {
        Self::open_with(data_centre, seed, CostModel::default())
    }

    /// Opens a router whose engines have the speeds of `cost`.
    #[must_use]
    pub fn open_with(data_centre: Name, seed: u64, cost: CostModel) -> Self {
        let rate = Rate::over(Self::TRAFFIC_MS);
        Self {
            data_centre,
            random: ChaCha8Rng::seed_from_u64(seed),
            cost,
            slots: HashMap::new(),
            candidates: Vec::new(),
            free: Vec::new(),
            pools: Pools::default(),
            prefixes: PrefixIndex::default(),
            outputs: OutputEstimate::default(),
            demand: DemandMeter::default(),
            running: HashMap::new(),
            daemons: 1,
            shares: Shares::new(),
            traffic: Traffic {
                prefill: rate,
                sequences: rate,
                in_place: rate,
                long_steps: rate,
            },
        }
    }

    /// Returns the recent demand that this daemon saw, for each model.
    #[must_use]
    pub fn demand(&self, now: Instant) -> Vec<Demand> {
        self.demand.demand(now)
    }

    /// Takes in what the daemon learned at `now`.
    pub fn observe(&mut self, event: Event, now: Instant) {
        match event {
            Event::Joined(endpoint) => self.joined(endpoint),
            Event::Left { endpoint } => self.left(&endpoint),
            Event::Leaving { endpoint, leaving } => {
                self.update(&endpoint, |candidate| candidate.leaving = leaving);
            }
            Event::Reachable {
                endpoint,
                reachable,
            } => self.update(&endpoint, |candidate| candidate.reachable = reachable),
            Event::Reported { load, observed } => self.reported(load, observed),
            Event::Cached { engine, event } => self.cached(&engine, &event),
            Event::Prefilled { .. } => {}
            Event::FirstToken { request } => self.first_token(request, now),
            Event::Finished {
                request,
                output_tokens,
            } => self.finished(request, output_tokens, now),
            Event::Daemons { count } => self.daemons = count.max(1),
            Event::Configured(configuration) => self.shares.configure(&configuration),
        }
    }

    /// Chooses where `request` goes at `now`; a dispatch counts as in flight from here on.
    pub fn route(&mut self, request: &Request, now: Instant) -> Decision {
        match request.model.clone() {
            Some(model) => self.route_model(request, &model, now),
            None => self.route_plain(request),
        }
    }

    fn joined(&mut self, endpoint: Endpoint) {
        let id = endpoint.id.clone();
        if let Some(slot) = self.slots.get(&id).copied() {
            let in_flight = self.candidates[slot].in_flight;
            self.candidates[slot] = Candidate::new(endpoint);
            self.candidates[slot].in_flight = in_flight;
            self.prefixes.cleared(slot);
            self.file(slot);
            return;
        }
        let candidate = Candidate::new(endpoint);
        let slot = if let Some(slot) = self.free.pop() {
            self.candidates[slot] = candidate;
            slot
        } else {
            self.candidates.push(candidate);
            self.candidates.len() - 1
        };
        self.slots.insert(id, slot);
        self.file(slot);
    }

    fn left(&mut self, endpoint: &Name) {
        let Some(slot) = self.slots.remove(endpoint) else {
            return;
        };
        self.candidates[slot].leaving = true;
        self.prefixes.cleared(slot);
        self.file(slot);
        // A slot with requests in flight keeps its counts apart from a later endpoint's.
        if self.candidates[slot].in_flight == 0 {
            self.free.push(slot);
        }
    }

    fn update(&mut self, endpoint: &Name, change: impl FnOnce(&mut Candidate)) {
        if let Some(slot) = self.slots.get(endpoint).copied() {
            change(&mut self.candidates[slot]);
            self.file(slot);
        }
    }

    fn reported(&mut self, load: Load, observed: Instant) {
        let Some(slot) = self.slots.get(&load.engine).copied() else {
            return;
        };
        let candidate = &mut self.candidates[slot];
        let restarted = candidate.load.as_ref().is_some_and(|old| {
            old.incarnation != load.incarnation || (old.role != load.role && !load.changing)
        });
        candidate.report(load, observed);
        if restarted {
            self.prefixes.cleared(slot);
        }
        self.file(slot);
    }

    /// Files an endpoint under what it can do now.
    fn file(&mut self, slot: usize) {
        let candidate = &self.candidates[slot];
        let near = candidate.endpoint.data_centre == self.data_centre;
        let keys = match (&candidate.endpoint.service, &candidate.load) {
            (Some(service), _) if candidate.is_open() => vec![Key::Plain(service.clone())],
            (None, Some(load)) => match candidate.open_role() {
                Some(role) => {
                    let models = load.models.iter();
                    models.map(|it| Key::of_role(role, &it.name)).collect()
                }
                None => Vec::new(),
            },
            _ => Vec::new(),
        };
        self.pools.file(slot, near, keys);
    }

    fn cached(&mut self, engine: &Name, event: &CacheEvent) {
        let Some(slot) = self.slots.get(engine).copied() else {
            return;
        };
        match event.kind {
            CacheKind::Stored => {
                let holder = Holder {
                    engine: slot,
                    tokens: event.tokens,
                };
                self.prefixes.stored(event.prefix, holder);
            }
            CacheKind::Evicted => self.prefixes.evicted(event.prefix, slot),
        }
    }

    fn first_token(&mut self, request: u64, now: Instant) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.answering = true;
        if now > running.deadline
            && let Some(model) = running.model.clone()
        {
            self.demand.missed(&model, now);
            self.shares.missed(&running.service, now);
        }
    }

    fn finished(&mut self, request: u64, output_tokens: u32, _now: Instant) {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        if output_tokens > 0 && running.model.is_some() {
            self.outputs.observe(&running.service, output_tokens);
        }
        for slot in [Some(running.endpoint), running.prefill]
            .into_iter()
            .flatten()
        {
            let candidate = &mut self.candidates[slot];
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
        }
    }

    fn start(&mut self, request: &Request, endpoint: usize, prefill: Option<usize>) {
        let running = Running {
            endpoint,
            prefill,
            service: request.service.clone(),
            model: request.model.clone(),
            deadline: request.deadline,
            answering: false,
        };
        for slot in [Some(endpoint), prefill].into_iter().flatten() {
            self.candidates[slot].in_flight += 1;
        }
        self.running.insert(request.id, running);
    }

    fn name(&self, slot: usize) -> Name {
        self.candidates[slot].endpoint.id.clone()
    }

    /// Time that a request and its answer spend between data centres.
    fn crossing_ms(&self, slot: usize) -> f64 {
        if self.candidates[slot].endpoint.data_centre == self.data_centre {
            0.0
        } else {
            self.cost.crossing_ms
        }
    }
}
