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

mod candidate;
mod choice;
mod model;
mod plain;
mod pools;
mod water_level;

use candidate::Candidate;
use pools::{Key, Pools};

/// Chooses the endpoint of each request of one daemon, for `ragwortgrade_lib::front`.
#[derive(Debug)]
pub struct Router {
    data_centre: Name,
    random: ChaCha8Rng,
    cost: CostModel,
    /// Slot of each endpoint, which is its index in `candidates`.
    slots: HashMap<Name, usize>,
    candidates: Vec<Candidate>,
    /// Slots of departed endpoints, available for new ones.
    free_slots: Vec<usize>,
    pools: Pools,
    prefixes: PrefixIndex,
    outputs: OutputEstimate,
    demand: DemandMeter,
    running: HashMap<u64, Running>,
    /// Number of live daemons that route to the same endpoints, including this one.
    daemons: u32,
    shares: Shares,
    traffic: Traffic,
}

/// A request that was dispatched and has not ended.
#[derive(Debug)]
struct Running {
    endpoint: usize,
    prefill: Option<usize>,
    service: Name,
    model: Option<Name>,
    deadline: Instant,
    is_answering: bool,
}

/// Rates at which this daemon sends work to all engines. The other daemons are assumed to send the
/// same.
#[derive(Debug)]
struct Traffic {
    /// Prompt tokens for prefill engines.
    prefill: Rate,
    /// Sequences for decode engines.
    sequences: Rate,
    /// Prompt tokens of local prefills.
    local_prefill: Rate,
    /// Steps that exceed the gap limit.
    long_steps: Rate,
}

impl Router {
    /// Averaging window of the rates: long enough to average out the noise of one daemon's
    /// arrivals.
    const TRAFFIC_WINDOW_MS: f64 = 5_000.0;

    /// Creates a router for a daemon in `data_centre`. Equal seeds and events give equal decisions.
    #[must_use]
    pub fn open(data_centre: Name, seed: u64) -> Self {
        Self::open_with(data_centre, seed, CostModel::default())
    }

    /// Creates a router for engines with the speeds of `cost`.
    #[must_use]
    pub fn open_with(data_centre: Name, seed: u64, cost: CostModel) -> Self {
        let rate = Rate::with_window(Self::TRAFFIC_WINDOW_MS);
        Self {
            data_centre,
            random: ChaCha8Rng::seed_from_u64(seed),
            cost,
            slots: HashMap::new(),
            candidates: Vec::new(),
            free_slots: Vec::new(),
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
                local_prefill: rate,
                long_steps: rate,
            },
        }
    }

    /// Returns the recent demand for each model at this daemon.
    #[must_use]
    pub fn demand(&self, now: Instant) -> Vec<Demand> {
        self.demand.demand(now)
    }

    /// Updates the router with an event that the daemon received at `now`.
    pub fn observe(&mut self, event: Event, now: Instant) {
        match event {
            Event::Joined(endpoint) => self.add_endpoint(endpoint),
            Event::Left { endpoint } => self.remove_endpoint(&endpoint),
            Event::Leaving { endpoint, leaving } => {
                self.update(&endpoint, |candidate| candidate.is_leaving = leaving);
            }
            Event::Reachable {
                endpoint,
                reachable,
            } => self.update(&endpoint, |candidate| candidate.is_reachable = reachable),
            Event::Reported { load, observed } => self.record_load(load, observed),
            Event::Cached { engine, event } => self.apply_cache_event(&engine, &event),
            Event::Prefilled { .. } => {}
            Event::FirstToken { request } => self.record_first_token(request, now),
            Event::Finished {
                request,
                output_tokens,
            } => self.finish(request, output_tokens, now),
            Event::Daemons { count } => self.daemons = count.max(1),
            Event::Configured(configuration) => self.shares.configure(&configuration),
        }
    }

    /// Chooses where `request` runs. A dispatched request counts as in flight from `now` on.
    pub fn route(&mut self, request: &Request, now: Instant) -> Decision {
        match request.model.clone() {
            Some(model) => self.route_model(request, &model, now),
            None => self.route_plain(request),
        }
    }

    fn add_endpoint(&mut self, endpoint: Endpoint) {
        let id = endpoint.id.clone();
        if let Some(slot) = self.slots.get(&id).copied() {
            let in_flight = self.candidates[slot].in_flight;
            self.candidates[slot] = Candidate::new(endpoint);
            self.candidates[slot].in_flight = in_flight;
            self.prefixes.remove_engine(slot);
            self.update_pools(slot);
            return;
        }
        let candidate = Candidate::new(endpoint);
        let slot = if let Some(slot) = self.free_slots.pop() {
            self.candidates[slot] = candidate;
            slot
        } else {
            self.candidates.push(candidate);
            self.candidates.len() - 1
        };
        self.slots.insert(id, slot);
        self.update_pools(slot);
    }

    fn remove_endpoint(&mut self, endpoint: &Name) {
        let Some(slot) = self.slots.remove(endpoint) else {
            return;
        };
        self.candidates[slot].is_leaving = true;
        self.candidates[slot].has_departed = true;
        self.prefixes.remove_engine(slot);
        self.update_pools(slot);
        self.free_slot(slot);
    }

    /// Makes the slot of a departed endpoint available once no requests are in flight there.
    fn free_slot(&mut self, slot: usize) {
        let candidate = &mut self.candidates[slot];
        if candidate.has_departed && candidate.in_flight == 0 {
            candidate.has_departed = false;
            self.free_slots.push(slot);
        }
    }

    fn update(&mut self, endpoint: &Name, change: impl FnOnce(&mut Candidate)) {
        if let Some(slot) = self.slots.get(endpoint).copied() {
            change(&mut self.candidates[slot]);
            self.update_pools(slot);
        }
    }

    fn record_load(&mut self, load: Load, observed: Instant) {
        let Some(slot) = self.slots.get(&load.engine).copied() else {
            return;
        };
        let candidate = &mut self.candidates[slot];
        let is_cache_lost = candidate.load.as_ref().is_some_and(|old| {
            old.incarnation != load.incarnation || (old.role != load.role && !load.changing)
        });
        candidate.update_load(load, observed);
        if is_cache_lost {
            self.prefixes.remove_engine(slot);
        }
        self.update_pools(slot);
    }

    /// Assigns an endpoint to the pools that match its current role and state.
    fn update_pools(&mut self, slot: usize) {
        let candidate = &self.candidates[slot];
        let is_local = candidate.endpoint.data_centre == self.data_centre;
        let keys = match (&candidate.endpoint.service, &candidate.load) {
            (Some(service), _) if candidate.is_available() => vec![Key::Plain(service.clone())],
            (None, Some(load)) => match candidate.available_role() {
                Some(role) => {
                    let models = load.models.iter();
                    models.map(|it| Key::for_role(role, &it.name)).collect()
                }
                None => Vec::new(),
            },
            _ => Vec::new(),
        };
        self.pools.assign(slot, is_local, keys);
    }

    fn apply_cache_event(&mut self, engine: &Name, event: &CacheEvent) {
        let Some(slot) = self.slots.get(engine).copied() else {
            return;
        };
        match event.kind {
            CacheKind::Stored => {
                let holder = Holder {
                    engine: slot,
                    tokens: event.tokens,
                };
                self.prefixes.insert(event.prefix, holder);
            }
            CacheKind::Evicted => self.prefixes.remove(event.prefix, slot),
        }
    }

    fn record_first_token(&mut self, request: u64, now: Instant) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.is_answering = true;
        if now > running.deadline
            && let Some(model) = running.model.clone()
        {
            self.demand.record_missed(&model, now);
            self.shares.record_missed(&running.service, now);
        }
    }

    fn finish(&mut self, request: u64, output_tokens: u32, _now: Instant) {
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
            self.free_slot(slot);
        }
    }

    /// Records a dispatched request as running at the endpoint and at the engine that prefills.
    fn begin(&mut self, request: &Request, endpoint: usize, prefill: Option<usize>) {
        let running = Running {
            endpoint,
            prefill,
            service: request.service.clone(),
            model: request.model.clone(),
            deadline: request.deadline,
            is_answering: false,
        };
        for slot in [Some(endpoint), prefill].into_iter().flatten() {
            self.candidates[slot].in_flight += 1;
        }
        self.running.insert(request.id, running);
    }

    fn endpoint_id(&self, slot: usize) -> Name {
        self.candidates[slot].endpoint.id.clone()
    }

    /// Returns the network round trip to an endpoint, in ms; 0 within the data centre.
    fn round_trip_ms(&self, slot: usize) -> f64 {
        if self.candidates[slot].endpoint.data_centre == self.data_centre {
            0.0
        } else {
            self.cost.data_centre_round_trip_ms
        }
    }
}
