//! Exchange of load updates: each daemon sends its work on the engines to the others, which take it
//! into account when they place requests.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::gateway::epidemic::ByteBudget;
use ragwortgrade_policy::gateway::{CachedPart, EngineWork, Stage, UpdateSchedule};
use ragwortgrade_schema::Name;
use tokio::net::UdpSocket;

use super::duties;
use super::endpoint_index::EndpointIndex;
use super::load_update::{LoadUpdate, Sender};
use super::news_exchange::{self, NewsExchange};
use super::news_message::NewsMessage;
use super::shared::Shared;
use super::speed_report::SpeedReport;
use super::unreadable_datagrams::UnreadableDatagrams;

/// Interval at which a daemon without recipients looks for some.
const IDLE_INTERVAL: Duration = Duration::from_millis(700);
/// Pause after all datagrams that have arrived were received, in a large fleet. Datagrams that arrive
/// meanwhile need one wakeup of the process together.
const RECEIVE_PAUSE: Duration = Duration::from_millis(4);
/// Number of datagrams that are received before other tasks run.
const BATCH_MAX: usize = 64;
/// Maximum size of a received datagram.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;

/// Group of daemons that receive load updates, and the work that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerGroup {
    /// All daemons of a small fleet, or those of the same data centre: they receive all work.
    Local,
    /// Daemons of the other data centres of a large fleet: they receive the work on prefill
    /// engines, which cache long prompt parts for the whole fleet, and those parts.
    Remote,
}

/// Exchanges load updates and news with other daemons until the task is aborted.
pub(super) async fn run(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let started_ms = shared.clock.unix_ms();
    let bytes_per_second =
        shared.options.peer_bytes_per_second * (1.0 - news_exchange::BYTES_FRACTION);
    let publisher = LoadPublisher {
        shared: &shared,
        socket: &socket,
        started_ms,
        sequence: Cell::new(0),
        budget: RefCell::new(ByteBudget::new(bytes_per_second)),
        index: RefCell::default(),
    };
    let news = NewsExchange::new(&shared, &socket, started_ms);
    tokio::join!(
        publisher.publish_load(PeerGroup::Local),
        publisher.publish_load(PeerGroup::Remote),
        news.run(),
        receive(&publisher, &news),
        shared.peer_traffic.report(&shared)
    );
}

/// Receives datagrams of other daemons until the future is dropped.
async fn receive(loads: &LoadPublisher<'_>, news: &NewsExchange<'_>) {
    let mut unreadable = UnreadableDatagrams::default();
    // One byte more than accepted, so that longer datagrams are noticed.
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX + 1];
    let mut in_batch = 0;
    loop {
        in_batch += 1;
        if in_batch > BATCH_MAX {
            in_batch = 0;
            tokio::task::yield_now().await;
        }
        let (length, source) = match loads.socket.try_recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) => {
                if error.kind() != io::ErrorKind::WouldBlock {
                    log::debug!(error:% = error; "datagram could not be received");
                }
                if loads.has_many_peers() {
                    tokio::time::sleep(RECEIVE_PAUSE).await;
                }
                if let Err(error) = loads.socket.readable().await {
                    log::debug!(error:% = error; "socket cannot be polled");
                }
                continue;
            }
        };
        loads.shared.peer_traffic.record_received();
        let datagram = &buffer[..length];
        let is_readable = length <= DATAGRAM_BYTES_MAX
            && if NewsMessage::is_in(datagram) {
                news.receive(datagram, source)
            } else if duties::Message::is_in(datagram) {
                duties::receive(loads.shared, loads.socket, datagram, source)
            } else {
                loads.receive(datagram)
            };
        if !is_readable {
            loads.shared.metrics.count("news.unreadable", 1);
            unreadable.record(source, length, loads.shared.now());
        }
    }
}

/// Sends this daemon's load updates, and receives those of others.
struct LoadPublisher<'a> {
    shared: &'a Shared,
    socket: &'a UdpSocket,
    started_ms: u64,
    /// Sequence number of the last datagram, shared by both groups.
    sequence: Cell<u64>,
    /// Budget of both groups.
    budget: RefCell<ByteBudget>,
    index: RefCell<EndpointIndex>,
}

impl LoadPublisher<'_> {
    /// Sends load updates to a group when they are due.
    async fn publish_load(&self, group: PeerGroup) {
        let mut changes = self.shared.subscribe_work_changes();
        let mut schedule = UpdateSchedule::default();
        loop {
            changes.mark_unchanged();
            let addresses = self.addresses(group);
            let work = self.work(group);
            let now = self.shared.now();
            let wait = if addresses.is_empty() {
                IDLE_INTERVAL
            } else {
                let due = schedule.due(&work, self.has_parts(group), addresses.len(), now);
                let budget_wait = self.budget.borrow_mut().wait_time(now);
                due.since(now).max(budget_wait)
            };
            if wait.is_zero() {
                self.send(group, &work, &self.parts(group), &addresses);
                schedule.record_sent(&work, now);
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(wait.min(IDLE_INTERVAL)) => {}
                _ = changes.changed() => {}
            }
        }
    }

    fn addresses(&self, group: PeerGroup) -> Vec<SocketAddr> {
        let peers = self.shared.peers.borrow();
        let data_centre = &self.shared.options.data_centre;
        match group {
            PeerGroup::Local => peers.local(data_centre),
            PeerGroup::Remote => peers.remote(data_centre),
        }
    }

    fn work(&self, group: PeerGroup) -> Vec<(Name, EngineWork)> {
        let registry = self.shared.registry.borrow();
        let is_prefill = |id: &Name| {
            let engine = registry.get(id);
            engine.is_some_and(|engine| engine.stage == Some(Stage::Prefill))
        };
        let mut work = self.shared.engines.borrow().own_work(self.shared.now());
        work.retain(|(id, _)| group == PeerGroup::Local || is_prefill(id));
        work.sort_by(|left, right| left.0.cmp(&right.0));
        work
    }

    fn has_many_peers(&self) -> bool {
        UpdateSchedule::is_large_group(self.shared.peers.borrow().directory.len())
    }

    fn has_parts(&self, group: PeerGroup) -> bool {
        let engines = self.shared.engines.borrow();
        match group {
            PeerGroup::Local => engines.has_unsent_local(),
            PeerGroup::Remote => engines.has_unsent_remote(),
        }
    }

    fn parts(&self, group: PeerGroup) -> Vec<CachedPart> {
        let mut engines = self.shared.engines.borrow_mut();
        match group {
            PeerGroup::Local => engines.take_unsent_local(),
            PeerGroup::Remote => engines.take_unsent_remote(),
        }
    }

    /// Takes the observed speeds to send to a group.
    fn speeds(&self, group: PeerGroup) -> SpeedReport {
        let mut engines = self.shared.engines.borrow_mut();
        let samples = match group {
            PeerGroup::Local => engines.take_unsent_speeds_local(),
            PeerGroup::Remote => engines.take_unsent_speeds_remote(),
        };
        SpeedReport::new(&samples)
    }

    fn send(
        &self,
        group: PeerGroup,
        work: &[(Name, EngineWork)],
        parts: &[CachedPart],
        addresses: &[SocketAddr],
    ) {
        self.sequence.set(self.sequence.get() + 1);
        let sender = Sender {
            daemon: self.shared.options.name.clone(),
            started_ms: self.started_ms,
        };
        let load_update = LoadUpdate::new(sender, self.sequence.get(), work, parts);
        let datagram = match postcard::to_allocvec(&(load_update, self.speeds(group))) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!(error:% = error; "load update could not be encoded");
                return;
            }
        };
        let bytes = (datagram.len() + news_exchange::HEADER_BYTES) * addresses.len();
        // The other group may have overdrawn the budget since the wait; the debt delays both.
        self.budget.borrow_mut().charge(bytes, self.shared.now());
        let traffic = &self.shared.peer_traffic;
        traffic.record_load_update(group == PeerGroup::Local, addresses.len(), bytes);
        for address in addresses {
            // A send error has the effect of a lost datagram: the next update replaces the work in
            // it, but does not repeat the parts.
            if let Err(error) = self.socket.try_send_to(&datagram, *address) {
                log::debug!(peer:% = address, error:% = error; "load update could not be sent");
            }
        }
    }

    /// Handles a datagram with a load update. Returns whether it can be read.
    fn receive(&self, datagram: &[u8]) -> bool {
        let shared = self.shared;
        // Bytes after the load update are ignored, so that later versions can append to it.
        let Ok((load_update, rest)) = postcard::take_from_bytes::<LoadUpdate>(datagram) else {
            return false;
        };
        // Earlier versions append no speeds.
        let speeds = postcard::take_from_bytes::<SpeedReport>(rest);
        let speeds = speeds.map_or_else(|_| SpeedReport::default(), |(speeds, _)| speeds);
        let now = shared.now();
        let mut peers = shared.peers.borrow_mut();
        if !peers.record_if_newer(&load_update, now) {
            return true;
        }
        drop(peers);
        let daemon = load_update.sender.daemon.clone();
        let registry = shared.registry.borrow();
        let mut index = self.index.borrow_mut();
        let mut find = |number| index.find(number, &registry, now);
        let loads = load_update.loads(&mut find);
        let parts = load_update.parts(&mut find);
        let speeds = speeds.samples(&mut find);
        let mut engines = shared.engines.borrow_mut();
        engines.update_peer(&daemon, loads, now);
        engines.record_peer_parts(parts, now);
        engines.record_peer_speeds(&speeds, now);
        true
    }
}
