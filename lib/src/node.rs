use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::{Instant, Router};
use ragwortgrade_schema::configuration::Configuration;
use ragwortgrade_schema::settings::Settings;

use crate::clock::Clock;
use crate::endpoint::{Engine, PlainService};
use crate::membership::Directory;
use crate::observe::Metrics;
use crate::platform::KeyValue;

/// The pause between rounds of gossip is 1 s, and an exchange takes up to 3.5 s with connection and
/// handshake. A round waits for its exchanges with peers, which run at the same time. A round that
/// contacts the seeds also waits for those exchanges, which run one after another; several seeds
/// that hang can therefore exceed this time without a pause of the process.
const STALE_AFTER: Duration = Duration::from_millis(4_500);

/// State shared by all components of one daemon.
///
/// Clients of other processes are trait objects, so that tests can replace them with fakes.
pub struct Node {
    /// Validated settings.
    pub settings: Settings,
    /// Differs at each start of the process.
    pub incarnation: u64,
    /// Monotonic clock that started with the daemon.
    pub clock: Clock,
    /// Known endpoints.
    pub directory: Directory,
    /// The configuration in force; `None` until one is known.
    pub configuration: ArcSwapOption<Configuration>,
    /// Client of the platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// Client of the engines.
    pub engines: Arc<dyn Engine>,
    /// Client of the plain services.
    pub plain_services: Arc<dyn PlainService>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    pub(crate) router: Mutex<Router>,
    pub(crate) is_draining: AtomicBool,
    pub(crate) are_loads_known: AtomicBool,
    /// End of the last round of gossip, in microseconds of the clock; 0 before the first.
    last_round: AtomicU64,
}

/// Clients of other processes, passed to [`Node::open`].
#[derive(Debug)]
pub struct Clients {
    /// Client of the platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// Client of the engines.
    pub engines: Arc<dyn Engine>,
    /// Client of the plain services.
    pub plain_services: Arc<dyn PlainService>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("id", &self.settings.daemon.id)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Creates the state of a daemon without any endpoint or configuration.
    #[must_use]
    pub fn open(settings: Settings, incarnation: u64, clients: Clients) -> Self {
        let metrics = Metrics::open(&settings.observe).unwrap_or_else(|error| {
            log::warn!(error:% = error; "cannot open the metrics sink; metrics are disabled");
            Metrics::none()
        });
        let router = Router::open(settings.daemon.data_centre.clone(), incarnation);
        Self {
            settings,
            incarnation,
            clock: Clock::start(),
            directory: Directory::default(),
            configuration: ArcSwapOption::empty(),
            key_value: clients.key_value,
            engines: clients.engines,
            plain_services: clients.plain_services,
            metrics,
            router: Mutex::new(router),
            is_draining: AtomicBool::new(false),
            are_loads_known: AtomicBool::new(false),
            last_round: AtomicU64::new(0),
        }
    }

    /// Marks the daemon as draining before a planned stop.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Locks the router. Decisions are short; hold the lock for one call only.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the router.
    pub fn observe(&self, event: Event) {
        let now = self.clock.now();
        self.router().observe(event, now);
    }

    /// Records the end of a round of gossip, after which the daemon's state is up to date.
    pub(crate) fn mark_round_end(&self) {
        let now = self.clock.now().as_micros();
        self.last_round.store(now, Ordering::Release);
    }

    /// Returns whether the last round of gossip ended so long ago that the process was probably
    /// paused. Rounds end even if no other daemon answers.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let last = Instant::from_micros(self.last_round.load(Ordering::Acquire));
        last != Instant::default() && self.clock.now().since(last) > STALE_AFTER
    }

    /// Records that the loads of endpoints are known, so that requests can be routed.
    pub fn mark_loads_known(&self) {
        self.are_loads_known.store(true, Ordering::Relaxed);
    }

    /// Returns whether the loads of endpoints are known, without which no request can be routed.
    #[must_use]
    pub fn are_loads_known(&self) -> bool {
        self.are_loads_known.load(Ordering::Relaxed)
    }

    /// Returns whether the daemon is draining before a planned stop.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }
}
