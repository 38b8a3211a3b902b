use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Catalog, Engines, Limits, PlainPool, Registry};
use tokio::sync::{Notify, watch};

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
    /// Wakes those who tell this daemon's work on the engines.
    work_changed: watch::Sender<()>,
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
            work_changed: watch::Sender::default(),
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

    /// Notes that this daemon's work on the engines changed.
    pub(super) fn note_work(&self) {
        self.work_changed.send_replace(());
    }

    /// Returns what tells changes of this daemon's work on the engines.
    pub(super) fn work_changes(&self) -> watch::Receiver<()> {
        self.work_changed.subscribe()
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
