use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::{Rc, Weak};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::demand::{Arrival, Collector, DemandReport};
use ragwortgrade_policy::gateway::duties::{Call, Outcome as CallOutcome};
use ragwortgrade_policy::gateway::scaling::{
    MeasuredDemand, Need, Order, Outcome, ServiceView, Worker,
};
use ragwortgrade_policy::gateway::{
    Catalog, Endpoint, EndpointState, Placement, Refusal, Scaling, Service, Stage,
};
use ragwortgrade_schema::Name;

use super::duties::{DutyTask, Tenure};
use super::request_context::RequestContext;
use super::shared::Shared;

/// Time after an outage or a restore of the store for which no workers are ordered: registrations of
/// stopped endpoints, which an older copy has, end within it.
const INTERRUPTION_TIME: Duration = Duration::from_secs(10);
/// Interval of the log lines on the numbers of workers.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of orders whose outcome is awaited.
const ORDERS_MAX: usize = 256;

/// Duty of ordering workers, and the exchange of the demand that the orders are based on.
#[derive(Debug)]
pub(super) struct ScalingTask {
    /// State that holds this task.
    shared: Weak<Shared>,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    scaling: Scaling,
    collector: Collector,
    /// Fencing token of the tenure to which the decisions belong.
    token: Option<u64>,
    /// Number of interruptions and restores of the store that were noticed, and when.
    interruptions: (u64, u64),
    interrupted_at: Option<Instant>,
    /// Number of usable endpoints while the registrations are current, and since when.
    stable: Option<(usize, Instant)>,
    /// When the numbers of workers were last logged.
    logged_at: Option<Instant>,
    /// Orders whose outcome is not known.
    orders: Vec<Order>,
    /// When endpoints were first seen with this start and remaining slow time.
    seen: HashMap<Name, ((Option<u64>, Duration), Instant)>,
}

impl ScalingTask {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::downgrade(shared),
            state: RefCell::default(),
        }
    }

    /// Returns the orders that are due.
    fn orders(&self, shared: &Shared, catalog: &Catalog, now: Instant) -> Vec<Order> {
        let state = &mut *self.state.borrow_mut();
        let workers = workers(shared, state, now);
        let mut daemons: HashSet<Name> = {
            let peers = shared.peers.borrow();
            peers.directory.names().cloned().collect()
        };
        daemons.insert(shared.options.name.clone());
        state.collector.expire(now);
        let mut views = Vec::new();
        for service in scaled_services(catalog) {
            let Some(terms) = &service.scaling else {
                continue;
            };
            let (workers, slots) = workers.get(&service.name).map_or((&[][..], 0), |known| {
                (known.workers.as_slice(), known.slots)
            });
            views.push(ServiceView {
                service: &service.name,
                terms,
                workers,
                stable_since: state.stable.map(|(_, since)| since),
                demand: demand_of(shared, service, slots, &state.collector, &daemons, now),
            });
        }
        let is_current = state.stable.is_some();
        let orders = state.scaling.decide(&views, is_current, now);
        for (service, status) in state.scaling.status(now) {
            let metrics = &shared.metrics;
            let gauge = |name: &str, value: u32| {
                metrics.gauge(&format!("workers.{name}.{service}"), u64::from(value));
            };
            gauge("wanted", status.wanted);
            gauge("present", status.present);
            gauge("spot", status.spot);
            gauge("dry_data_centres", status.dry_data_centres);
        }
        if state
            .logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL)
        {
            state.logged_at = Some(now);
            log_status(&state.scaling, &views, is_current, now);
        }
        orders
    }
}

/// Workers of one service.
#[derive(Debug, Default)]
struct ServiceWorkers {
    workers: Vec<Worker>,
    /// Largest number of sequences of a decode engine.
    slots: u32,
}

impl ServiceWorkers {
    fn add(&mut self, endpoint: &Endpoint, is_warm: bool) {
        if endpoint.stage != Some(Stage::Prefill) {
            self.slots = self.slots.max(endpoint.slots);
        }
        self.workers.push(Worker::new(endpoint, is_warm, 1.0));
    }
}

impl DutyTask for ScalingTask {
    fn due_calls(&self, tenure: Tenure, now: Instant) -> Vec<Call> {
        let Some(shared) = self.shared.upgrade() else {
            return Vec::new();
        };
        let Some(catalog) = shared.catalog() else {
            return Vec::new();
        };
        if scaled_services(&catalog).next().is_none() {
            return Vec::new();
        }
        let own_report = self.demand(now);
        {
            let mut state = self.state.borrow_mut();
            if state.token != Some(tenure.token) {
                state.token = Some(tenure.token);
                state.scaling = Scaling::default();
                state.orders.clear();
            }
        }
        if let Some(report) = own_report {
            self.receive_demand(&shared.options.name, &report, now);
        }
        let orders = self.orders(&shared, &catalog, now);
        for order in &orders {
            log::info!(
                service:% = order.service, data_centre:% = order.data_centre, count = order.count,
                before = order.count_before, spot = order.is_spot, reason:% = order.reason,
                token = tenure.token;
                "workers ordered"
            );
            shared.metrics.count("workers.orders", 1);
        }
        let calls = orders.iter().map(to_call).collect();
        let state = &mut *self.state.borrow_mut();
        state.orders.extend(orders);
        let excess = state.orders.len().saturating_sub(ORDERS_MAX);
        state.orders.drain(..excess);
        calls
    }

    fn handle_outcome(&self, call: &Call, outcome: CallOutcome, now: Instant) {
        let state = &mut *self.state.borrow_mut();
        let Some(index) = state.orders.iter().position(|it| to_call(it) == *call) else {
            return;
        };
        let order = state.orders.remove(index);
        let result = match outcome {
            CallOutcome::Accepted => Outcome::Accepted,
            CallOutcome::Refused => Outcome::Unavailable,
            CallOutcome::Superseded | CallOutcome::Throttled | CallOutcome::Unknown => {
                Outcome::Unknown
            }
        };
        if result != Outcome::Accepted
            && let Some(shared) = self.shared.upgrade()
        {
            log::info!(
                service:% = order.service, data_centre:% = order.data_centre, count = order.count,
                spot = order.is_spot, outcome:? = outcome;
                "order of workers not accepted"
            );
            shared.metrics.count("workers.orders_refused", 1);
        }
        state.scaling.record(&order, result, now);
    }

    fn handle_end(&self) {
        let state = &mut *self.state.borrow_mut();
        state.token = None;
        state.scaling = Scaling::default();
        state.orders.clear();
    }

    fn demand(&self, now: Instant) -> Option<Vec<u8>> {
        let shared = self.shared.upgrade()?;
        let catalog = shared.catalog()?;
        let mut services: Vec<&Name> = scaled_services(&catalog).map(|it| &it.name).collect();
        if services.is_empty() {
            return None;
        }
        services.sort_unstable();
        track_registrations(&shared, &mut self.state.borrow_mut(), now);
        let mut demand = shared.demand.borrow_mut();
        Some(demand.report(services.into_iter(), now).to_bytes())
    }

    fn receive_demand(&self, daemon: &Name, demand: &[u8], now: Instant) {
        match DemandReport::from_bytes(demand) {
            Some(report) => {
                let mut state = self.state.borrow_mut();
                state.collector.record(daemon, report, now);
            }
            None => {
                if let Some(shared) = self.shared.upgrade() {
                    shared.metrics.count("workers.demand_unreadable", 1);
                }
            }
        }
    }
}

/// Records the demand of a request for a generation that has arrived, if workers of its service are
/// ordered.
pub(super) fn record_arrival(context: &RequestContext, result: &Result<Placement, Refusal>) {
    let shared = &context.shared;
    let is_scaled = shared.catalog().is_some_and(|catalog| {
        let service = catalog.service(&context.service);
        service.is_some_and(|service| service.scaling.is_some())
    });
    if !is_scaled {
        return;
    }
    let prompt = &context.metadata.prompt;
    let cached = result
        .as_ref()
        .map_or(0, |placement| placement.cached_tokens);
    let prefill_ms = shared
        .options
        .speed
        .prefill_ms(prompt.tokens, cached, false);
    let expected_ms = match result {
        Ok(_) => None,
        Err(refusal) => refusal
            .estimate
            .as_ref()
            .map(|estimate| estimate.prefill_ms),
    };
    let arrival = Arrival {
        prefill_ms: expected_ms.unwrap_or(prefill_ms).min(prefill_ms),
        output_tokens: prompt
            .output_tokens_hint
            .unwrap_or(prompt.output_tokens_max),
        is_refused: result.is_err(),
    };
    let now = shared.now();
    let mut demand = shared.demand.borrow_mut();
    demand.record(&context.service, arrival, now);
}

/// Logs what the orders of workers are based on.
fn log_status(scaling: &Scaling, views: &[ServiceView<'_>], is_current: bool, now: Instant) {
    for (service, status) in scaling.status(now) {
        let mut views = views.iter();
        let demand = views
            .find(|view| view.service == service)
            .and_then(|it| it.demand);
        log::info!(
            service:% = service, wanted = status.wanted, present = status.present,
            spot = status.spot, dry_data_centres = status.dry_data_centres,
            needed_prefill = status.need.prefill, needed_decode = status.need.decode,
            measured_prefill:? = demand.map(|it| it.need.prefill),
            measured_decode:? = demand.map(|it| it.need.decode),
            refused_share:? = demand.map(|it| it.refused_share), is_current = is_current;
            "workers counted"
        );
    }
}

/// Records whether the registrations are current, and since when their number has been the same.
fn track_registrations(shared: &Shared, state: &mut State, now: Instant) {
    let interruptions = (shared.store_interruptions(), shared.store_restores());
    if state.interruptions != interruptions {
        state.interruptions = interruptions;
        state.interrupted_at = Some(now);
    }
    let is_interrupted = state
        .interrupted_at
        .is_some_and(|at| now.since(at) < INTERRUPTION_TIME);
    if is_interrupted || !are_registrations_current(shared, now) {
        state.stable = None;
        return;
    }
    let endpoints = shared.registry.borrow().usable().count();
    match state.stable {
        Some((known, _)) if known == endpoints => {}
        _ => state.stable = Some((endpoints, now)),
    }
}

fn are_registrations_current(shared: &Shared, now: Instant) -> bool {
    let registry = shared.registry.borrow();
    shared.is_registry_loaded.get() && registry.vouches(now) && registry.lapsed().next().is_none()
}

/// Returns the demand of all daemons for a service, if enough of them have reported it.
fn demand_of(
    shared: &Shared,
    service: &Service,
    slots: u32,
    collector: &Collector,
    daemons: &HashSet<Name>,
    now: Instant,
) -> Option<MeasuredDemand> {
    let total = collector.total(&service.name, daemons, now);
    if !total.is_complete() {
        return None;
    }
    let demand = total.demand;
    let speed = &shared.options.speed;
    // The work of a plain service is not measured; its capacity is kept.
    let need = service.engine.map_or_else(Need::default, |limits| {
        Need::of_demand(
            demand.prefill_ms,
            demand.output_tokens,
            slots,
            &limits,
            speed,
        )
    });
    Some(MeasuredDemand {
        need,
        refused_share: demand.refused / demand.requests.max(1.0),
    })
}

/// Returns the registered workers by service.
fn workers(shared: &Shared, state: &mut State, now: Instant) -> HashMap<Name, ServiceWorkers> {
    let registry = shared.registry.borrow();
    state.seen.retain(|id, _| registry.get(id).is_some());
    let mut services: HashMap<Name, ServiceWorkers> = HashMap::new();
    for endpoint in registry.ids().filter_map(|id| registry.get(id)) {
        let start = (endpoint.started_ms, endpoint.cold_remaining);
        let seen = state.seen.entry(endpoint.id.clone());
        let seen = seen.or_insert((start, now));
        if seen.0 != start {
            *seen = (start, now);
        }
        let is_warm = now.since(seen.1) >= endpoint.cold_remaining;
        let mut endpoint = endpoint.clone();
        if !registry.is_usable(&endpoint.id) {
            endpoint.state = EndpointState::Draining;
        }
        let service = services.entry(endpoint.service.clone()).or_default();
        service.add(&endpoint, is_warm);
    }
    services
}

/// Returns the services whose workers are ordered.
fn scaled_services(catalog: &Catalog) -> impl Iterator<Item = &Service> {
    catalog.services().filter(|it| it.scaling.is_some())
}

fn to_call(order: &Order) -> Call {
    Call::Scale {
        service: order.service.clone(),
        data_centre: order.data_centre.clone(),
        count: order.count,
        is_spot: order.is_spot,
    }
}
