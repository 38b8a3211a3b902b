//! Startup and drain of one daemon process.

mod admin_backend;
mod data_centre;
mod dispatcher;
mod error;

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use error::Error;
use ragwortgrade_policy::Planner;
use ragwortgrade_policy::authority::LeaseTiming;
use ragwortgrade_policy::membership::Roster;
use ragwortgrade_schema::peer::{Identity, Member, MemberState};
use ragwortgrade_schema::settings::Settings;

use crate::admin::{Admin, Authenticator};
use crate::claims::Claims;
use crate::configuration::{Replica, ReplicaThreads};
use crate::control::Control;
use crate::endpoint::{HttpEngine, HttpPlainService};
use crate::front::{Front, ReplayBuffers};
use crate::gossip::Gossiper;
use crate::membership::{CacheReader, LoadReader, Table, VmListReader};
use crate::node::{Clients, Node};
use crate::peer::{Keyring, Network, Peers};
use crate::platform::{HttpKeyValue, HttpVmList, VmList};
use crate::settings::public_address;
use crate::trial::Trials;
use crate::worker::Worker;
use admin_backend::AdminBackend;
use data_centre::DataCentre;
use dispatcher::Dispatcher;

/// Number of low bits of the incarnation that are random; they distinguish processes started in the
/// same second.
const INCARNATION_RANDOM_BITS: u32 = 32;
/// Longer than the delivery of an order, which takes at most 5 s: the control lease is released
/// only while no order is in flight.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(6);
/// At least a few rounds of gossip, so that the other daemons learn of the drain before it ends.
const DRAIN_DURATION_MIN: Duration = Duration::from_secs(3);
const LEASE_SYNC_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time between two role changes of an engine.
const ROLE_CHANGE_PAUSE: Duration = Duration::from_secs(30);

/// A running daemon; dropping it stops its threads without waiting for requests.
pub struct Daemon {
    front: Front,
    network: Arc<Network>,
    table: Arc<Table>,
    control: Arc<Control>,
    // The following fields only keep threads running; dropping one stops its threads.
    _lease_sync: Worker,
    _admin: Admin,
    _gossip: Worker,
    _load_reader: LoadReader,
    _vm_list_reader: VmListReader,
    _replica: ReplicaThreads,
    _cache_reader: CacheReader,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon")
            .field("callers", &self.front.address())
            .field("peers", &self.network.address())
            .finish_non_exhaustive()
    }
}

impl Daemon {
    /// Starts a daemon with validated settings; `on_drain` is called when an operator requests a
    /// drain.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, a thread cannot be started, or the operating system
    /// provides no random numbers.
    pub fn spawn(
        settings: Settings,
        on_drain: impl Fn() + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let incarnation = incarnation()?;
        let keyring = Keyring::open(&settings.keys).ok_or(Error::Keys)?;
        let roster = Arc::new(Mutex::new(Roster::open(
            own_member(&settings, incarnation),
            incarnation,
        )));
        let daemon = &settings.daemon;
        let network = Network::bind(
            daemon.id.clone(),
            &daemon.peers_address,
            keyring,
            Arc::clone(&roster),
        )?;
        let network = Arc::new(network);
        let vm_list: Arc<dyn VmList> = Arc::new(HttpVmList::open(&settings.platform.vm_list));
        let clients = Clients {
            key_value: Arc::new(HttpKeyValue::open(&settings.platform.key_value)),
            engines: Arc::new(HttpEngine::open()),
            plain_services: Arc::new(HttpPlainService::open()),
        };
        let node = Arc::new(Node::open(settings, incarnation, clients));
        let table = Arc::new(Table::open(Arc::clone(&node), roster));
        let claims = Claims::open(Arc::clone(&node));
        let replay_buffers = Arc::new(ReplayBuffers::default());
        let trials = Arc::new(Trials::default());
        let replica = Replica::open(Arc::clone(&node), Arc::<Network>::clone(&network));
        let dispatcher = Arc::new(Dispatcher::open(
            Arc::clone(&node),
            Arc::clone(&table),
            Arc::clone(&network),
            Arc::clone(&claims),
            Arc::clone(&replay_buffers),
            Arc::clone(&trials),
            Arc::clone(&replica),
        ));
        network.serve(Arc::<Dispatcher>::clone(&dispatcher))?;
        let vm_list_reader =
            VmListReader::spawn(Arc::clone(&node), Arc::clone(&table), Arc::clone(&vm_list))?;
        let replica_threads = Replica::spawn(&replica)?;
        let cache_reader = CacheReader::spawn(Arc::clone(&node))?;
        let gossip = Gossiper::spawn(Arc::clone(dispatcher.gossiper()))?;
        let load_reader = LoadReader::spawn(Arc::clone(&node), Arc::clone(&table))?;
        let peers: Arc<dyn Peers> = Arc::<Network>::clone(&network);
        claims.start(&peers)?;
        let data_centre = DataCentre::open(Arc::clone(&node), Arc::clone(&table), vm_list);
        let control = Arc::new(Control::spawn(
            Arc::clone(&node),
            Arc::<Network>::clone(&network),
            Arc::new(data_centre),
            Box::new(Planner::open(ROLE_CHANGE_PAUSE)),
            LeaseTiming::default(),
        )?);
        let lease_sync = spawn_lease_sync(&replica, &control)?;
        let front = Front::bind(Arc::clone(&node), peers, replay_buffers, trials)?;
        let admin_backend = AdminBackend {
            node: Arc::clone(&node),
            table: Arc::clone(&table),
            front: Arc::clone(front.context()),
            replica,
            on_drain: Box::new(on_drain),
            is_drain_requested: AtomicBool::new(false),
        };
        let authenticator = Authenticator::open(&node.settings.keys);
        let admin = Admin::bind(
            &node.settings.daemon.admin_address,
            authenticator,
            Arc::new(admin_backend),
        )?;
        log::info!(callers:% = front.address(), peers:% = network.address(); "daemon started");
        Ok(Self {
            front,
            network,
            table,
            control,
            _lease_sync: lease_sync,
            _admin: admin,
            _gossip: gossip,
            _load_reader: load_reader,
            _vm_list_reader: vm_list_reader,
            _replica: replica_threads,
            _cache_reader: cache_reader,
        })
    }

    /// Returns the bound address of the callers' listener.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Rejects new requests, waits for the open ones and stops. Returns whether all of them ended
    /// within the drain timeout.
    #[must_use]
    pub fn drain(mut self) -> bool {
        log::info!("daemon is draining");
        self.table.roster().drain();
        let earliest_end = Instant::now() + DRAIN_DURATION_MIN;
        let is_complete = self.front.drain();
        if !self.control.release(RELEASE_TIMEOUT) {
            log::warn!("cannot release the control lease in time; it will expire");
        }
        // Before the listener closes, other daemons take over the claim shards and the balancer
        // sees that this daemon rejects requests.
        thread::sleep(earliest_end.saturating_duration_since(Instant::now()));
        self.front.stop();
        log::info!(is_complete; "daemon drained");
        is_complete
    }
}

/// Starts the thread that informs the configuration replica whether this daemon holds the control
/// lease.
fn spawn_lease_sync(replica: &Arc<Replica>, control: &Arc<Control>) -> std::io::Result<Worker> {
    let (replica, control) = (Arc::clone(replica), Arc::clone(control));
    Worker::spawn("duties", move || {
        replica.set_holds_lease(control.is_holder());
        LEASE_SYNC_PERIOD
    })
}

fn own_member(settings: &Settings, incarnation: u64) -> Member {
    let daemon = &settings.daemon;
    Member {
        identity: Identity {
            id: daemon.id.clone(),
            incarnation,
            data_centre: daemon.data_centre.clone(),
            draining: false,
        },
        address: public_address(daemon).to_owned(),
        heartbeat: 1,
        state: MemberState::Alive,
    }
}

/// Generates the incarnation. The upper bits are the start time, so that a later process has the
/// higher incarnation.
fn incarnation() -> Result<u64, Error> {
    let seconds = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    let random = getrandom::u32()?;
    Ok((seconds << INCARNATION_RANDOM_BITS) | u64::from(random))
}
