use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::{
    Holder, HolderRecord, Lease, LeaseTiming, Orders, Takeover, Timestamp,
};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Fencing;

use super::{Environment, History};
use crate::Node;
use crate::peer::Peers;
use crate::settings::public_address;

/// State shared by the controller's threads.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) node: Arc<Node>,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) environment: Arc<dyn Environment>,
    pub(super) timing: LeaseTiming,
    is_stopping: AtomicBool,
    state: Mutex<State>,
}

/// The state machines of `policy`, and records of their effects.
#[derive(Debug)]
pub(super) struct State {
    pub(super) lease: Lease,
    /// Takeover from former holders, with the fencing token of the lease under which it began.
    pub(super) takeover: Option<(u64, Takeover)>,
    pub(super) orders: Orders,
    pub(super) history: History,
    /// Incarnation and fencing token with which each engine last acknowledged an order.
    pub(super) acknowledged_tokens: BTreeMap<Name, (u64, u64)>,
    /// When each engine was last marked as accepting no new work.
    pub(super) marked_at: BTreeMap<Name, Instant>,
}

impl Shared {
    pub(super) fn open(
        node: Arc<Node>,
        peers: Arc<dyn Peers>,
        environment: Arc<dyn Environment>,
        timing: LeaseTiming,
        jitter: u32,
    ) -> Self {
        let daemon = &node.settings.daemon;
        let own = Holder {
            daemon: daemon.id.clone(),
            incarnation: node.incarnation,
            address: public_address(daemon).to_owned(),
            listed: false,
        };
        // Jitter of up to a quarter of the TTL keeps two candidates from calling in lockstep.
        let fraction = f64::from(jitter) / f64::from(u32::MAX);
        let jitter = (timing.ttl / 4).mul_f64(fraction);
        let state = State {
            lease: Lease::open(timing, own.clone(), jitter),
            takeover: None,
            orders: Orders::open(timing, own),
            history: History::default(),
            acknowledged_tokens: BTreeMap::new(),
            marked_at: BTreeMap::new(),
        };
        Self {
            node,
            peers,
            environment,
            timing,
            is_stopping: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp {
            monotonic: self.node.clock.now(),
            unix_ms: self.node.clock.unix_ms(),
        }
    }

    /// Returns the time between two checks for work, a quarter of `timing.poll_interval`.
    pub(super) fn check_interval(&self) -> Duration {
        self.timing.poll_interval / 4
    }

    pub(super) fn stop_campaigning(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed) || self.node.is_draining()
    }

    pub(super) fn fence(&self) -> Option<u64> {
        let now = self.now();
        self.lock()
            .lease
            .holder_record(now)
            .map(|holder_record| holder_record.fence)
    }

    pub(super) fn unresolved_former_holders(&self) -> Vec<String> {
        let state = self.lock();
        let takeover = state.takeover.as_ref();
        let former_holders = takeover.map_or(&[][..], |(_, takeover)| takeover.former_holders());
        former_holders.iter().map(ToString::to_string).collect()
    }

    /// Returns how an engine treats fencing tokens; an undeclared one is assumed to ignore them.
    pub(super) fn fencing(&self, engine: &Name) -> Fencing {
        let configuration = self.node.configuration.load();
        let declared = configuration
            .as_ref()
            .and_then(|configuration| configuration.endpoints.get(engine.as_str()));
        declared.map_or(Fencing::Ignored, |endpoint| endpoint.fencing)
    }
}

impl State {
    /// Returns the holder record under which an engine with this kind of fencing may be ordered
    /// now; `None` without a lease or while the takeover waits for former holders.
    pub(super) fn permitted(&self, fencing: Fencing, now: Timestamp) -> Option<&HolderRecord> {
        let holder_record = self.lease.holder_record(now)?;
        let (fence, takeover) = self.takeover.as_ref()?;
        let permits = *fence == holder_record.fence && takeover.permits(fencing, now.monotonic);
        permits.then_some(holder_record)
    }
}
