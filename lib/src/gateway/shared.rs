use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Broadcast;
use ragwortgrade_policy::gateway::{
    Catalog, Demand, Endpoint, Engines, FairShares, PlainPool, Quarantine, RateLimits,
    RegistrationSource, Registry, ResponseEra, SizeShares, StoreEra, StoreOutage,
};
use ragwortgrade_schema::Name;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::caller_connection::CallerConnections;
use super::configuration::Configuration;
use super::crash_detector::CrashDetector;
use super::drain::Drain;
use super::duties::Duties;
use super::peer_traffic::PeerTraffic;
use super::peers::{self, Peers};
use super::retry_budgets::RetryBudgets;
use super::shared_reads::SharedReads;
use super::supervisor::Supervisor;
use super::tenant_statistics::TenantStatistics;
use super::{Client, Disposition, Options, ResponseInfo, StoreError, StoreResponse};
use crate::Clock;
use crate::observe::Metrics;

/// Time before the start of the process that its clock can express: peers report crashes of that
/// time.
const TIME_BEFORE_START: Duration = Duration::from_hours(1);
/// State shared by the gateway's tasks, which all run on one thread.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) options: Options,
    pub(super) configuration: Configuration,
    pub(super) tenants: TenantStatistics,
    pub(super) fair_shares: RefCell<FairShares>,
    pub(super) registry: RefCell<Registry>,
    pub(super) engines: RefCell<Engines>,
    pub(super) size_shares: RefCell<SizeShares>,
    pub(super) plain_pool: RefCell<PlainPool>,
    pub(super) quarantine: RefCell<Quarantine>,
    pub(super) rate_limits: RefCell<RateLimits>,
    pub(super) crash_detector: CrashDetector,
    pub(super) retry_budgets: RefCell<RetryBudgets>,
    pub(super) callers: CallerConnections,
    pub(super) client: Client,
    pub(super) duties: Duties,
    pub(super) metrics: Metrics,
    pub(super) supervisor: Supervisor,
    /// Whether the registrations were listed at least once.
    pub(super) is_registry_loaded: Cell<bool>,
    /// Wakes requests that wait for the configuration and the first listing.
    loaded: Notify,
    pub(super) drain: Drain,
    pub(super) demand: RefCell<Demand>,
    store_era: RefCell<StoreEra>,
    pub(super) store_outage: RefCell<StoreOutage>,
    /// Wakes the task that keeps this daemon registered, to call the store at once.
    store_call: Notify,
    /// Number of store outages that have ended, and of restores.
    store_interruptions: Cell<u64>,
    /// Wakes tasks whose calls were lost in an interruption of the store, or build on what they
    /// read before it.
    store_recovered: Notify,
    pub(super) peers: RefCell<Peers>,
    pub(super) peer_traffic: PeerTraffic,
    pub(super) endpoint_reads: SharedReads,
    pub(super) daemon_reads: SharedReads,
    /// What other daemons are told of crashes, limits and departures.
    pub(super) broadcast: RefCell<Broadcast>,
    /// Wakes the tasks that send load updates.
    work_changed: watch::Sender<()>,
    /// Wakes the task that sends news.
    news: Notify,
    /// Wakes the task that compares digests, as other daemons were listed.
    peer_list: Notify,
    /// Whether this daemon has registered.
    pub(super) is_registered: Cell<bool>,
}

impl Shared {
    pub(super) fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        let clock = Clock::start_at(TIME_BEFORE_START);
        let seed = xxh3_64_with_seed(options.name.as_bytes(), clock.unix_ms());
        Rc::new(Self {
            clock,
            configuration: Configuration::new(options.configuration_bound),
            tenants: TenantStatistics::default(),
            fair_shares: RefCell::default(),
            registry: RefCell::default(),
            engines: RefCell::new(
                Engines::open(options.speed).with_order_seed(xxh3_64(options.name.as_bytes())),
            ),
            size_shares: RefCell::default(),
            plain_pool: RefCell::default(),
            quarantine: RefCell::default(),
            rate_limits: RefCell::default(),
            crash_detector: CrashDetector::default(),
            retry_budgets: RefCell::new(RetryBudgets::new(
                options.retry_ratio,
                options.retries_min,
            )),
            callers: CallerConnections::new(&options, clock, &metrics),
            client: Client::default(),
            duties: Duties::new(&options.name, options.duties.as_ref(), clock.timestamp()),
            metrics,
            supervisor: Supervisor::default(),
            is_registry_loaded: Cell::new(false),
            loaded: Notify::new(),
            drain: Drain::default(),
            demand: RefCell::default(),
            store_era: RefCell::default(),
            store_outage: RefCell::default(),
            store_call: Notify::new(),
            store_interruptions: Cell::new(0),
            store_recovered: Notify::new(),
            peers: RefCell::default(),
            peer_traffic: PeerTraffic::default(),
            endpoint_reads: SharedReads::new(
                RegistrationSource::Endpoints,
                options.registration_read_interval,
            ),
            daemon_reads: SharedReads::new(RegistrationSource::Daemons, peers::READ_INTERVAL),
            broadcast: RefCell::new(Broadcast::new(seed)),
            work_changed: watch::Sender::default(),
            news: Notify::new(),
            peer_list: Notify::new(),
            is_registered: Cell::new(false),
            options,
        })
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.configuration.catalog()
    }

    /// Changes the quarantine and logs what it then holds.
    pub(super) fn update_quarantine(&self, update: impl FnOnce(&mut Quarantine, Instant)) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let before = quarantine.identities(now);
        update(&mut quarantine, now);
        let after = quarantine.identities(now);
        if quarantine.has_news() {
            self.notify_news();
        }
        if before != after {
            let ids: Vec<String> = after
                .iter()
                .map(|identity| format!("{identity:x}"))
                .collect();
            log::warn!(
                identities = ids.join(","), lost_runs = quarantine.evidence().lost_runs.len();
                "quarantine changed"
            );
        }
    }

    /// Records what an endpoint says of itself in a response.
    pub(super) fn observe_response(
        &self,
        endpoint: &Endpoint,
        info: &ResponseInfo,
        request_id: &str,
    ) {
        self.observe_limit(endpoint, info);
        if info.disposition == Disposition::WrongEndpoint {
            return;
        }
        if info.is_leaving {
            self.observe_leaving(endpoint, request_id);
        }
        if let Some(pause) = info.pause {
            self.observe_pause(endpoint, pause, request_id);
        }
    }

    fn observe_pause(&self, endpoint: &Endpoint, asked: Duration, request_id: &str) {
        let now = self.now();
        let pause = self
            .rate_limits
            .borrow_mut()
            .pause(&endpoint.id, asked, now);
        log::info!(
            endpoint:% = endpoint.id, service:% = endpoint.service, request = request_id,
            asked_ms = asked.as_millis() as u64, pause_ms = pause.as_millis() as u64;
            "endpoint asked for a pause"
        );
        self.metrics
            .count(&format!("endpoints.pauses.{}", endpoint.service), 1);
    }

    /// Returns whether an endpoint is known to take requests of this daemon, apart from its limit.
    pub(super) fn accepts_requests(&self, id: &Name) -> bool {
        let is_usable = self.registry.borrow().is_usable(id);
        is_usable && !self.rate_limits.borrow().is_paused(id, self.now())
    }

    /// Returns why these endpoints, which are limited, take no request, and after which time one of
    /// them does.
    pub(super) fn limit_refusal(&self, limited: &[Name]) -> (&'static str, Duration) {
        let rate_limits = self.rate_limits.borrow();
        let now = self.now();
        let reason = if limited.iter().all(|id| rate_limits.is_paused(id, now)) {
            "endpoints_paused"
        } else {
            "endpoint_limits"
        };
        (reason, rate_limits.retry_after(limited, now))
    }

    fn observe_leaving(&self, endpoint: &Endpoint, request_id: &str) {
        let now = self.now();
        let is_first =
            self.registry
                .borrow_mut()
                .record_said_leaving(&endpoint.id, endpoint.started_ms, now);
        if !is_first {
            return;
        }
        log::info!(
            endpoint:% = endpoint.id, service:% = endpoint.service,
            endpoint_started_ms = endpoint.started_ms, request = request_id;
            "endpoint says that it leaves"
        );
        self.metrics
            .count(&format!("endpoints.leaving.{}", endpoint.service), 1);
        self.notify_news();
    }

    /// Records the limit in a response of an endpoint, or that it has none.
    fn observe_limit(&self, endpoint: &Endpoint, info: &ResponseInfo) {
        // A rejection without a limit may come from another endpoint at the same address.
        if info.disposition != Disposition::Accepted && info.requests_per_second.is_none() {
            return;
        }
        let per_second = info.requests_per_second;
        let now = self.now();
        let is_changed = self
            .rate_limits
            .borrow_mut()
            .observe(&endpoint.id, per_second, now);
        if is_changed {
            log::info!(
                endpoint:% = endpoint.id, requests_per_second:? = per_second;
                "limit of an endpoint changed"
            );
            self.notify_news();
        }
    }

    /// Returns which of the endpoints take no request of this daemon now, because of their limits or
    /// pauses.
    pub(super) fn limited(&self, endpoints: &[&Endpoint]) -> Vec<Name> {
        let rate_limits = self.rate_limits.borrow();
        let now = self.now();
        let ids = endpoints.iter().map(|endpoint| &endpoint.id);
        let limited = ids.filter(|id| !rate_limits.allows(id, &self.options.name, now));
        limited.cloned().collect()
    }

    /// Counts a request of this daemon against the limit of its endpoint, if there is one.
    pub(super) fn record_placed(&self, id: &Name) {
        let now = self.now();
        if self.rate_limits.borrow_mut().record_sent(id, now) {
            self.notify_news();
        }
    }

    /// Waits for the result of a call to the store.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Restored`] instead of the result if the store was restored from an
    /// older copy since the call was sent, or if the response is the first one that shows it.
    pub(super) async fn call_store<T>(
        &self,
        call: impl Future<Output = StoreResponse<T>>,
    ) -> Result<T, StoreError> {
        let sent_after = self.store_restores();
        let StoreResponse { era, result } = call.await;
        let response_era = self.store_era.borrow_mut().observe(sent_after, era);
        match response_era {
            ResponseEra::Current => result,
            ResponseEra::Superseded => Err(StoreError::Restored),
            ResponseEra::New => {
                log::warn!(era:? = era; "store was restored from an older copy; reading it again");
                self.record_restore();
                Err(StoreError::Restored)
            }
        }
    }

    /// Returns the number of restores of the store that were noticed.
    pub(super) fn store_restores(&self) -> u64 {
        self.store_era.borrow().restores()
    }

    /// Returns the era that the store last named, if it names any.
    pub(super) fn store_era_named(&self) -> Option<u64> {
        self.store_era.borrow().named()
    }

    /// Returns whether the store names no era, so that it may be restored from an older copy during an
    /// outage without being noticed.
    pub(super) fn may_miss_restores(&self) -> bool {
        self.store_era_named().is_none()
    }

    /// Records that a store outage has ended in which calls were lost.
    pub(super) fn record_outage_end(&self) {
        let now = self.now();
        if self.may_miss_restores() {
            self.endpoint_reads.reset();
            self.daemon_reads.reset();
        }
        self.endpoint_reads.store_restored(now);
        self.daemon_reads.store_restored(now);
        self.peers.borrow_mut().directory.source_restored(now);
        self.record_interruption();
    }

    /// Records that the store answered another daemon's call of this time.
    pub(super) fn observe_store_answer(&self, answered_at: Instant, reported_by: &Name) {
        if self.store_outage.borrow().may_have_ended(answered_at) {
            log::info!(reported_by:% = reported_by; "store answers another daemon; calling it");
            self.store_call.notify_one();
        }
    }

    /// Records that a call to the store failed that does not keep this daemon registered. Until the
    /// store answers, a registration that ends may have lapsed in an outage.
    pub(super) fn suspect_store_outage(&self) {
        if self.store_outage.borrow_mut().suspect() {
            self.registry.borrow_mut().source_lost();
            self.store_call.notify_one();
        }
    }

    /// Waits until the store is to be called at once: it may be unavailable, or answers other daemons
    /// again.
    pub(super) async fn wait_for_store_call(&self) {
        self.store_call.notified().await;
    }

    fn record_restore(&self) {
        let now = self.now();
        self.registry.borrow_mut().source_rolled_back(now);
        self.endpoint_reads.reset();
        self.daemon_reads.reset();
        self.peers.borrow_mut().directory.source_rolled_back(now);
        self.metrics.count("store.restores", 1);
        self.record_interruption();
    }

    fn record_interruption(&self) {
        let interruptions = self.store_interruptions.get();
        self.store_interruptions.set(interruptions + 1);
        self.store_recovered.notify_waiters();
    }

    /// Returns the number of store outages that have ended, and of restores.
    pub(super) fn store_interruptions(&self) -> u64 {
        self.store_interruptions.get()
    }

    /// Waits until the number of interruptions of the store differs from `known`.
    pub(super) async fn wait_for_interruption(&self, known: u64) {
        while self.store_interruptions.get() == known {
            self.store_recovered.notified().await;
        }
    }

    /// Wakes the tasks that send load updates, as this daemon's work on the engines changed.
    pub(super) fn notify_work_changed(&self) {
        self.work_changed.send_replace(());
    }

    /// Wakes the task that sends news.
    pub(super) fn notify_news(&self) {
        self.news.notify_one();
    }

    /// Waits until there may be news to send.
    pub(super) async fn wait_for_news(&self) {
        self.news.notified().await;
    }

    /// Wakes the task that compares digests with other daemons, as they were listed.
    pub(super) fn notify_peer_list(&self) {
        self.peer_list.notify_one();
    }

    /// Waits until other daemons are listed.
    pub(super) async fn wait_for_peer_list(&self) {
        self.peer_list.notified().await;
    }

    /// Returns a receiver of changes of this daemon's work on the engines.
    pub(super) fn subscribe_work_changes(&self) -> watch::Receiver<()> {
        self.work_changed.subscribe()
    }

    /// Returns whether a drain has started.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.has_started()
    }

    /// Returns whether a request that starts now could be cut off by the end of the drain.
    pub(super) fn could_outlast_drain(&self, is_stream: bool, time_limit: Duration) -> bool {
        let drain_timeout = self.options.drain_timeout;
        self.drain
            .could_cut_off(is_stream, time_limit, drain_timeout, self.now())
    }

    /// Returns whether the load balancer should send callers to this daemon.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_draining() && self.is_loaded() && self.supervisor.are_all_running()
    }

    /// Returns whether the configuration and the registrations have been read.
    pub(super) fn is_loaded(&self) -> bool {
        self.is_registry_loaded.get() && self.catalog().is_some()
    }

    /// Wakes requests that wait for the configuration or the registrations, which were read.
    pub(super) fn notify_loaded(&self) {
        self.loaded.notify_waiters();
    }

    /// Waits until the configuration and the registrations have been read.
    pub(super) async fn wait_until_loaded(&self) {
        while !self.is_loaded() {
            self.loaded.notified().await;
        }
    }
}
