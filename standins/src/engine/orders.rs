//! Handling of orders: the fencing check and the simulated change of role and models.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortgrade_schema::engine::{Order, OrderAnswer, Rejection, Version, Want};
use tiny_http::Request;

use super::OrderRecord;
use super::shared::Shared;
use super::state::State;
use crate::http::{self, Empty, unix_ms};
use crate::weights::Fetch;

const WEIGHTS_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Handles `POST /orders`.
pub(super) fn handle(shared: &Arc<Shared>, mut request: Request) {
    let Ok(order) = http::read_json::<Order>(&mut request) else {
        return http::respond(request, 400, &Empty {});
    };
    let delay = shared.lock().fault.order_delay_ms;
    thread::sleep(Duration::from_millis(delay));
    let answer = receive(shared, order);
    let mut state = shared.lock();
    if state.crashed || state.fault.lost_order_answers > 0 {
        state.fault.lost_order_answers = state.fault.lost_order_answers.saturating_sub(1);
        drop(state);
        return http::break_connection(request);
    }
    drop(state);
    http::respond(request, if answer.accepted { 200 } else { 409 }, &answer);
}

/// Accepts or rejects an order, and records it with the decision.
fn receive(shared: &Arc<Shared>, order: Order) -> OrderAnswer {
    let mut state = shared.lock();
    let reason = rejection(shared, &state, &order);
    let mut record = OrderRecord {
        engine: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        at_ms: unix_ms(),
        last_fence: state.last_fence,
        accepted: reason.is_none(),
        reason,
        during_change: state.change.is_some(),
        interrupted: 0,
        order,
    };
    if record.accepted {
        record.interrupted = accept(shared, &mut state, &record.order);
    }
    shared.orders.append(record);
    OrderAnswer {
        accepted: reason.is_none(),
        reason,
    }
}

fn rejection(shared: &Shared, state: &State, order: &Order) -> Option<Rejection> {
    if shared.settings.checks_fence && order.fence < state.last_fence {
        return Some(Rejection::StaleFence);
    }
    if state.draining {
        return Some(Rejection::Draining);
    }
    let changing = state.change.as_ref();
    changing
        .is_some_and(|want| *want != order.want)
        .then_some(Rejection::Busy)
}

/// Starts the change to the ordered state, and returns the number of sequences that it interrupted.
fn accept(shared: &Arc<Shared>, state: &mut State, order: &Order) -> u32 {
    state.last_fence = state.last_fence.max(order.fence);
    state.last_order.clone_from(&order.order);
    let want = order.want.clone();
    let is_current =
        state.role == want.role && state.models == want.models && state.adapters == want.adapters;
    if state.change.is_some() || is_current {
        return 0;
    }
    let is_role_change = state.role != want.role;
    // A role change drops the running batch, so only a drained engine changes without loss.
    let interrupted = if is_role_change {
        state.interrupt_all()
    } else {
        0
    };
    let loaded = [state.models.clone(), state.adapters.clone()].concat();
    state.change = Some(want.clone());
    let shared = Arc::clone(shared);
    thread::spawn(move || apply_change(&shared, &want, &loaded, is_role_change));
    interrupted
}

/// Simulates loading the weights and changing the role, then applies the ordered state.
fn apply_change(shared: &Shared, want: &Want, loaded: &[Version], is_role_change: bool) {
    let wanted = want.models.iter().chain(&want.adapters);
    for version in wanted.filter(|version| !loaded.contains(version)) {
        load_weights(shared, version);
    }
    let role_change = Duration::from_millis(shared.settings.role_change_ms);
    thread::sleep(if is_role_change {
        role_change / 2
    } else {
        Duration::ZERO
    });
    if shared.lock().fault.crash_in_change {
        return shared.crash_on_request();
    }
    thread::sleep(if is_role_change {
        role_change / 2
    } else {
        Duration::ZERO
    });
    let mut state = shared.lock();
    state.role = want.role;
    state.models.clone_from(&want.models);
    state.adapters.clone_from(&want.adapters);
    state.change = None;
    drop(state);
    shared.changed.notify_all();
}

fn load_weights(shared: &Shared, version: &Version) {
    let Some(base) = &shared.settings.weights else {
        return;
    };
    let url = format!("{base}/weights/{}/{}", version.name, version.version);
    while !shared.lock().crashed {
        let fetched = ureq::get(&url)
            .call()
            .and_then(|mut response| response.body_mut().read_json::<Fetch>());
        match fetched {
            Ok(fetch) => {
                log::info!("copying {} bytes from {url}", fetch.bytes);
                return thread::sleep(Duration::from_millis(fetch.ms));
            }
            Err(error) => log::warn!("cannot fetch weights from {url}, retrying: {error}"),
        }
        thread::sleep(WEIGHTS_RETRY_INTERVAL);
    }
}
