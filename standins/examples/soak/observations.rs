use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Results as seen by callers, which the report compares with the logs of the endpoints.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    /// Requests of the callers, without retries and without prompts that crash engines.
    pub(crate) sent: AtomicU64,
    pub(crate) complete: AtomicU64,
    pub(crate) refused_not_run: AtomicU64,
    pub(crate) outcome_unknown: AtomicU64,
    /// Requests without a complete answer or a refusal.
    pub(crate) lost: AtomicU64,
    /// Requests whose answer contains parts of another answer.
    pub(crate) crossed: AtomicU64,
    /// Broken streams that callers resumed.
    pub(crate) resumed: AtomicU64,
    /// Refusals of prompts that crash engines.
    pub(crate) crash_refusals: AtomicU64,
    /// Engines that received work too long after they began to leave.
    pub(crate) late_dispatches: AtomicU64,
    /// Accepted configurations that were lost or overwritten.
    pub(crate) config_reverts: AtomicU64,
    /// Exits of engine processes, whether by a crash or by a signal.
    pub(crate) engine_exits: AtomicU64,
    /// Requests refused because the engines that ran them crashed, although the requests were not
    /// the cause.
    pub(crate) refused_after_crashes: AtomicU64,
    open_requests: AtomicU64,
    orders: Mutex<BTreeMap<String, Order>>,
    /// Callers' addresses of draining daemons, with the start of each drain.
    drains: Mutex<HashMap<SocketAddr, Instant>>,
}

/// Results of a call of the plain service `orders`, as seen by its caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    /// Whether the call was answered completely.
    pub(crate) complete: bool,
    /// Whether every attempt was refused as not run.
    pub(crate) all_not_run: bool,
}

/// Guard that counts a request as open until it is dropped.
pub(crate) struct OpenRequest<'a>(&'a Observations);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Observations {
    /// Counts a request as sent and, until the guard is dropped, as open.
    pub(crate) fn open_request(&self) -> OpenRequest<'_> {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(self)
    }

    pub(crate) fn has_open_requests(&self) -> bool {
        self.open_requests.load(Ordering::Acquire) > 0
    }

    pub(crate) fn record_order(&self, body: String, order: Order) {
        lock(&self.orders).insert(body, order);
    }

    pub(crate) fn orders(&self) -> BTreeMap<String, Order> {
        lock(&self.orders).clone()
    }

    /// Records the start of a planned drain, during which the daemon must not break streams.
    pub(crate) fn start_drain(&self, address: SocketAddr) {
        lock(&self.drains).insert(address, Instant::now());
    }

    /// Records the end of the drain.
    pub(crate) fn end_drain(&self, address: SocketAddr) {
        lock(&self.drains).remove(&address);
    }

    /// Returns whether the daemon at this address is draining.
    pub(crate) fn is_draining(&self, address: SocketAddr) -> bool {
        lock(&self.drains).contains_key(&address)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
