//! The thread that turns the planner's changes into orders and tracks each until it ends.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::{Conclusion, HolderRecord, SendOutcome, Step};
use ragwortgrade_policy::fleet::{Fleet, Member};
use ragwortgrade_policy::planner::Change;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Fencing;
use ragwortgrade_schema::engine::{Load, Rejection, Want};
use ragwortgrade_schema::peer::Departure;

use super::call;
use super::shared::Shared;
use super::{Outcome, Plan, Record};
use crate::endpoint::Error;
use crate::worker::Worker;

/// Well below the 30 s after which a mark expires.
const MARK_RENEWAL_PERIOD: Duration = Duration::from_secs(5);

pub(super) fn spawn(shared: Arc<Shared>, mut plan: Box<dyn Plan>) -> io::Result<Worker> {
    let mut next_plan_at = Instant::default();
    Worker::spawn("orders", move || {
        step(&shared, &mut *plan, &mut next_plan_at);
        shared.check_interval()
    })
}

fn step(shared: &Shared, plan: &mut dyn Plan, next_plan_at: &mut Instant) {
    let now = shared.now();
    let holder_record = shared.lock().lease.holder_record(now).cloned();
    let holder_record = holder_record.filter(|_| !shared.is_stopping());
    cancel_unsent_orders(
        shared,
        holder_record
            .as_ref()
            .map(|holder_record| holder_record.fence),
    );
    if let Some(holder_record) = holder_record.filter(|_| now.monotonic >= *next_plan_at) {
        *next_plan_at = now.monotonic + shared.timing.poll_interval;
        plan_changes(shared, plan, &holder_record);
    }
    let steps = shared.lock().orders.steps(now.monotonic);
    // Concurrently, so that an engine that hangs does not delay the orders of the others.
    thread::scope(|scope| {
        for (engine, step) in steps {
            scope.spawn(move || match step {
                Step::Read => read_state(shared, &engine),
                Step::Send => send_order(shared, &engine),
            });
        }
    });
    renew_marks(shared);
}

fn plan_changes(shared: &Shared, plan: &mut dyn Plan, holder_record: &HolderRecord) {
    let Some(configuration) = shared.node.configuration.load_full() else {
        return;
    };
    let members = members(shared);
    for member in &members {
        step_down_if_superseded(shared, &member.load);
        announce_token(shared, holder_record, member);
    }
    let fleet = Fleet {
        engines: members,
        demand: shared.environment.demand(),
        configuration: &configuration,
    };
    let mut changes = plan.plan(&fleet, shared.now().monotonic);
    // Engines without any model go first, as they serve nothing until they are changed.
    let has_models = |change: &Change| {
        let member = fleet
            .engines
            .iter()
            .find(|member| member.load.engine == change.engine);
        member.is_some_and(|member| !member.load.models.is_empty())
    };
    changes.sort_by_key(has_models);
    for change in changes {
        let member = fleet
            .engines
            .iter()
            .find(|member| member.load.engine == change.engine);
        if let Some(member) = member {
            open_order(shared, change, &member.load, holder_record);
        }
    }
}

fn members(shared: &Shared) -> Vec<Member> {
    let endpoints = call::engines(&shared.node);
    let state = shared.lock();
    let member = |endpoint: &crate::membership::Endpoint| {
        let ordered = state.orders.contains(&endpoint.id);
        let reachable = shared.environment.is_reachable(&endpoint.id);
        Some(Member {
            load: shared.environment.load(&endpoint.id)?,
            // This daemon may have marked an ordered engine as leaving for the change. That must
            // not make the engine unavailable for the order, and `leaving` does not show its cause,
            // so it is ignored for ordered engines.
            is_unavailable: !reachable || (endpoint.leaving && !ordered),
            has_pending_order: ordered,
        })
    };
    endpoints.iter().filter_map(member).collect()
}

/// Sends the holder's fencing token to an engine that checks tokens, in an order that changes
/// nothing. The engine then refuses orders of former holders.
fn announce_token(shared: &Shared, holder_record: &HolderRecord, member: &Member) {
    let load = &member.load;
    let is_available =
        !member.is_unavailable && !member.has_pending_order && !load.changing && !load.draining;
    if !is_available || shared.fencing(&load.engine) != Fencing::Checked {
        return;
    }
    let now = shared.now().monotonic;
    let mut state = shared.lock();
    let token = (load.incarnation, holder_record.fence);
    if state.acknowledged_tokens.get(&load.engine) != Some(&token) {
        state.orders.publish_fence(load, holder_record, now);
    }
}

fn current_state(load: &Load) -> Want {
    Want {
        role: load.role,
        models: load.models.clone(),
        adapters: load.adapters.clone(),
    }
}

fn open_order(shared: &Shared, change: Change, load: &Load, holder_record: &HolderRecord) {
    let now = shared.now();
    let mut state = shared.lock();
    let fencing = shared.fencing(&change.engine);
    if state.permitted(fencing, now).is_none() {
        return;
    }
    if !state
        .orders
        .start(change.clone(), load, holder_record, now.monotonic)
    {
        return;
    }
    let record = Record {
        at_ms: now.unix_ms,
        engine: change.engine,
        from: current_state(load),
        to: change.want,
        reason: change.reason,
        fence: holder_record.fence,
        outcome: Outcome::Open,
    };
    log::info!(
        engine:% = record.engine, from:? = record.from, to:? = record.to,
        reason = record.reason.as_str(), fence = record.fence;
        "engine change decided"
    );
    state.history.begin(record);
}

/// Cancels the orders that were not sent yet, except those of the current lease.
fn cancel_unsent_orders(shared: &Shared, current_fence: Option<u64>) {
    let engines = shared.lock().orders.cancel_unsent(current_fence);
    for engine in engines {
        finish_order(shared, &engine, Conclusion::GivenUp);
    }
}

/// Reads an engine's state, which decides the next step of its order.
fn read_state(shared: &Shared, engine: &Name) {
    let Some(endpoint) = shared.node.directory.get(engine) else {
        let now = shared.now().monotonic;
        if shared.lock().orders.remove_missing(engine, now) {
            finish_order(shared, engine, Conclusion::GivenUp);
        }
        return;
    };
    // Another engine may have taken over the address.
    let load = shared.node.engines.state(&endpoint.address).ok();
    let load = load.filter(|load| load.engine == *engine);
    if let Some(load) = &load {
        step_down_if_superseded(shared, load);
    }
    let now = shared.now().monotonic;
    let conclusion = shared.lock().orders.state_read(engine, load.as_ref(), now);
    if let Some(conclusion) = conclusion {
        if let Some(load) = load.filter(|_| conclusion == Conclusion::Carried) {
            let token = (load.incarnation, load.last_fence);
            shared
                .lock()
                .acknowledged_tokens
                .insert(engine.clone(), token);
        }
        finish_order(shared, engine, conclusion);
        return;
    }
    // Send at once, while the state that permits the order is recent.
    let is_ready = shared.lock().orders.is_ready(engine, now);
    if is_ready {
        send_order(shared, engine);
    }
}

/// Gives up the lease when an engine has accepted a newer fencing token than that of the lease.
///
/// Tokens of earlier leases are not compared: the newer one may be that of the current lease.
fn step_down_if_superseded(shared: &Shared, load: &Load) {
    let now = shared.now();
    let mut state = shared.lock();
    let fence = state
        .lease
        .holder_record(now)
        .map(|holder_record| holder_record.fence);
    if fence.is_some_and(|fence| load.last_fence > fence) {
        let newer = load.last_fence;
        log::warn!(
            engine:% = load.engine, newer;
            "engine has accepted a newer fencing token; giving up the control lease"
        );
        state.lease.step_down(now);
    }
}

fn send_order(shared: &Shared, engine: &Name) {
    let Some(endpoint) = shared.node.directory.get(engine) else {
        return read_state(shared, engine);
    };
    let fencing = shared.fencing(engine);
    let order = {
        let mut state = shared.lock();
        let now = shared.now();
        let Some(fence) = state
            .permitted(fencing, now)
            .map(|holder_record| holder_record.fence)
        else {
            return;
        };
        state.orders.begin_send(engine, fence, now.monotonic)
    };
    let Some(order) = order else {
        return;
    };
    let answer = shared.node.engines.order(&endpoint.address, &order);
    log::debug!(engine:% = engine, order = order.order.as_str(), answer:? = answer; "order sent");
    let sent = if matches!(answer, Err(Error::Unreachable { .. })) {
        SendOutcome::NotSent
    } else {
        SendOutcome::MaybeDelivered
    };
    let is_superseded = answer.is_ok_and(|answer| answer.reason == Some(Rejection::StaleFence));
    let now = shared.now();
    let mut state = shared.lock();
    if is_superseded {
        state.lease.step_down(now);
    }
    let conclusion = state.orders.end_send(engine, sent, now.monotonic);
    drop(state);
    if let Some(conclusion) = conclusion {
        finish_order(shared, engine, conclusion);
    }
}

fn finish_order(shared: &Shared, engine: &Name, conclusion: Conclusion) {
    log::info!(engine:% = engine, conclusion:? = conclusion; "order to an engine ended");
    let mut state = shared.lock();
    state.history.end(engine, conclusion);
    let was_marked = state.marked_at.remove(engine).is_some();
    drop(state);
    if was_marked {
        mark(shared, engine, false);
    }
}

/// Marks engines that are draining or changing, so that no daemon sends them new work.
fn renew_marks(shared: &Shared) {
    let now = shared.now().monotonic;
    let due: Vec<Name> = {
        let state = shared.lock();
        let is_due = |engine: &&Name| {
            let marked_at = state.marked_at.get(*engine);
            marked_at.is_none_or(|marked_at| now.since(*marked_at) >= MARK_RENEWAL_PERIOD)
        };
        state.orders.draining().filter(is_due).cloned().collect()
    };
    for engine in due {
        shared.lock().marked_at.insert(engine.clone(), now);
        mark(shared, &engine, true);
    }
}

fn mark(shared: &Shared, engine: &Name, leaving: bool) {
    let Some(endpoint) = shared.node.directory.get(engine) else {
        return;
    };
    shared.environment.mark(Departure {
        endpoint: engine.clone(),
        incarnation: endpoint.incarnation,
        leaving,
        // Unix time, so that marks of successive holders are ordered too.
        sequence: shared.now().unix_ms,
    });
}
