use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Catalog, Engines, Limits, PlainPool, Prompt, Registry, Work};
use ragwortgrade_schema::Name;
use tokio::sync::Notify;

use super::budgets::Budgets;
use super::caller::Callers;
use super::peers::Peers;
use super::{Client, Lease, Options};
use crate::Clock;
use crate::observe::Metrics;

/// Time for which a daemon that stops takes streams: the balancer sends callers elsewhere after
/// two misses of one a second, and a stream needs the rest of the time to end.
const LAST_STREAM_AFTER: Duration = Duration::from_millis(2_500);

/// State of the gateway; it lives on one thread.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) options: Options,
    pub(super) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(super) registry: RefCell<Registry>,
    pub(super) engines: RefCell<Engines>,
    pub(super) plains: RefCell<PlainPool>,
    pub(super) budgets: RefCell<Budgets>,
    pub(super) callers: Callers,
    pub(super) client: Client,
    pub(super) metrics: Metrics,
    /// Whether the registrations were read once.
    pub(super) is_registry_read: Cell<bool>,
    /// When a planned stop began.
    pub(super) stop_begun: Cell<Option<Instant>>,
    /// Outages of the store that have ended.
    outages: Cell<u64>,
    /// Wakes those who wait for answers of the store that it will never send.
    store_returned: Notify,
    pub(super) peers: RefCell<Peers>,
    /// Lease of this daemon's registration.
    pub(super) registration: Cell<Option<Lease>>,
}

impl Shared {
    pub(super) fn open(options: Options, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            clock: Clock::start(),
            catalog: RefCell::new(None),
            registry: RefCell::default(),
            engines: RefCell::new(Engines::open(options.speed)),
            plains: RefCell::default(),
            budgets: RefCell::new(Budgets::open(options.retry_part, options.retries_min)),
            callers: Callers::default(),
            client: Client::default(),
            metrics,
            is_registry_read: Cell::new(false),
            stop_begun: Cell::new(None),
            outages: Cell::new(0),
            store_returned: Notify::new(),
            peers: RefCell::default(),
            registration: Cell::new(None),
            options,
        })
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns what callers may send.
    pub(super) fn limits(&self) -> Limits {
        let catalog = self.catalog.borrow();
        catalog
            .as_ref()
            .map_or_else(Limits::default, |catalog| *catalog.limits())
    }

    /// Notes that the store answers after an outage.
    pub(super) fn end_outage(&self) {
        self.outages.set(self.outages.get() + 1);
        self.store_returned.notify_waiters();
    }

    /// Returns the number of outages of the store that have ended.
    pub(super) fn outages(&self) -> u64 {
        self.outages.get()
    }

    /// Waits until the number of outages that have ended is not `known`.
    pub(super) async fn outage_after(&self, known: u64) {
        while self.outages.get() == known {
            self.store_returned.notified().await;
        }
    }

    /// Tells whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop_begun.get().is_some()
    }

    /// Tells whether a stream that begins now could be cut off by the planned stop.
    pub(super) fn takes_no_streams(&self) -> bool {
        let now = self.now();
        let begun = self.stop_begun.get();
        begun.is_some_and(|begun| now.since(begun) > LAST_STREAM_AFTER)
    }

    /// Tells whether callers should be sent here.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_registry_read.get() && self.catalog.borrow().is_some()
    }
}

/// A call that runs at a plain service.
#[derive(Debug)]
pub(super) struct PlainCall {
    shared: Rc<Shared>,
    endpoint: Name,
    begun: Instant,
    work: Work,
}

impl PlainCall {
    pub(super) fn begin(shared: &Rc<Shared>, endpoint: &Name) -> Self {
        let begun = shared.now();
        shared.plains.borrow_mut().sent(endpoint, begun);
        Self {
            shared: Rc::clone(shared),
            endpoint: endpoint.clone(),
            begun,
            work: Work::Abandoned,
        }
    }

    pub(super) fn done(self) {
        let millis = millis(self.shared.now().since(self.begun));
        self.end(Work::Done { millis });
    }

    pub(super) fn end(mut self, work: Work) {
        self.work = work;
    }
}

impl Drop for PlainCall {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut plains = self.shared.plains.borrow_mut();
        plains.ended(&self.endpoint, self.work, now);
    }
}

/// A prompt that an engine reads.
#[derive(Debug)]
pub(super) struct PromptRead {
    shared: Rc<Shared>,
    engine: Name,
    begun: Instant,
    rank: u8,
    prefill_ms: f64,
    expected_ms: f64,
    work: Work,
}

impl PromptRead {
    /// Notes that a prompt is sent; `overhead_ms` is what an answer takes beside the reading.
    pub(super) fn begin(
        shared: &Rc<Shared>,
        engine: &Name,
        rank: u8,
        prefill_ms: f64,
        overhead_ms: f64,
        prompt: &Prompt,
    ) -> Self {
        let begun = shared.now();
        let mut engines = shared.engines.borrow_mut();
        let expected_ms = engines.known_wait_ms(engine, rank) + prefill_ms + overhead_ms;
        engines.prefill_sent(engine, rank, prefill_ms, prompt, begun);
        drop(engines);
        Self {
            shared: Rc::clone(shared),
            engine: engine.clone(),
            begun,
            rank,
            prefill_ms,
            expected_ms,
            work: Work::Abandoned,
        }
    }

    /// Notes that the prompt was read; returns the milliseconds that it took.
    pub(super) fn done(self) -> f64 {
        let millis = millis(self.shared.now().since(self.begun));
        self.end(Work::Done { millis });
        millis
    }

    pub(super) fn end(mut self, work: Work) {
        self.work = work;
    }
}

impl Drop for PromptRead {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut engines = self.shared.engines.borrow_mut();
        engines.prefill_ended(
            &self.engine,
            self.rank,
            self.prefill_ms,
            self.expected_ms,
            self.work,
            now,
        );
    }
}

/// A sequence that runs at an engine.
#[derive(Debug)]
pub(super) struct Sequence {
    shared: Rc<Shared>,
    engine: Name,
    work: Work,
}

impl Sequence {
    pub(super) fn begin(shared: &Rc<Shared>, engine: &Name, prompt: &Prompt) -> Self {
        let now = shared.now();
        let mut engines = shared.engines.borrow_mut();
        engines.sequence_sent(engine, prompt, now);
        drop(engines);
        Self {
            shared: Rc::clone(shared),
            engine: engine.clone(),
            work: Work::Abandoned,
        }
    }

    pub(super) fn end(mut self, work: Work) {
        self.work = work;
    }
}

impl Drop for Sequence {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut engines = self.shared.engines.borrow_mut();
        engines.sequence_ended(&self.engine, self.work, now);
    }
}

/// Returns a duration in milliseconds.
pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
