//! Exchange of load updates: each daemon sends its work on the engines to the others, which take it
//! into account when they place requests.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ragwortgrade_policy::gateway::{CachedPart, EngineWork, Stage};
use ragwortgrade_schema::Name;
use tokio::net::UdpSocket;

use super::departure_news::DepartureNews;
use super::evidence_report::EvidenceReport;
use super::load_update::{LoadUpdate, Sender};
use super::shared::Shared;
use super::update_extension::UpdateExtension;

/// Minimum interval between load updates: a fraction of the duration of most prefills.
const SEND_INTERVAL_MIN: Duration = Duration::from_millis(5);
/// Minimum interval between load updates per recipient: it is multiplied by the number of
/// recipients, which bounds the cost to 3,300 datagrams per second for each group.
const SEND_INTERVAL_PER_PEER: Duration = Duration::from_micros(300);
/// Interval at which unchanged load updates are repeated in case a datagram was lost: twice within
/// their lifetime.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);
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

/// What was last sent to a group beside the work.
#[derive(Debug, Default)]
struct ExtensionSchedule {
    evidence_changes: u64,
    limit_changes: u64,
    departure_changes: u64,
    repeated_at: Option<Instant>,
}

impl ExtensionSchedule {
    /// Returns what has changed, or everything if a repeat is due: it reaches daemons that have
    /// missed it or have started since.
    fn take_due(&mut self, shared: &Shared) -> Option<(UpdateExtension, DepartureNews)> {
        let is_repeat_due = self
            .repeated_at
            .is_none_or(|repeated_at| repeated_at.elapsed() >= REPEAT_INTERVAL);
        let now = shared.now();
        let quarantine = shared.quarantine.borrow();
        let evidence = (is_repeat_due || quarantine.changes() != self.evidence_changes)
            .then(|| quarantine.evidence())
            .filter(|evidence| !evidence.is_empty());
        let evidence = evidence.map(|evidence| EvidenceReport::new(evidence, now));
        let rate_limits = shared.rate_limits.borrow();
        let limits = rate_limits.reports(if is_repeat_due { 0 } else { self.limit_changes });
        let registry = shared.registry.borrow();
        let departures = if is_repeat_due || registry.said_changes() != self.departure_changes {
            registry.departure_reports(now)
        } else {
            Vec::new()
        };
        self.evidence_changes = quarantine.changes();
        self.limit_changes = rate_limits.changes();
        self.departure_changes = registry.said_changes();
        if is_repeat_due {
            self.repeated_at = Some(Instant::now());
        }
        let extension = UpdateExtension::new(evidence, limits, now);
        let departures = DepartureNews::new(departures, now);
        let is_due = !extension.is_empty() || !departures.is_empty();
        is_due.then_some((extension, departures))
    }
}

/// Sends and receives load updates until the task is aborted.
pub(super) async fn run(shared: Rc<Shared>, socket: UdpSocket) {
    let publisher = LoadPublisher {
        shared: &shared,
        socket: &socket,
        started_ms: shared.clock.unix_ms(),
        sequence: Cell::new(0),
    };
    tokio::join!(
        publisher.publish_load(PeerGroup::Local),
        publisher.publish_load(PeerGroup::Remote),
        publisher.receive_load_updates()
    );
}

/// Sends this daemon's load updates, and receives those of others.
struct LoadPublisher<'a> {
    shared: &'a Shared,
    socket: &'a UdpSocket,
    started_ms: u64,
    /// Sequence number of the last datagram, shared by both groups.
    sequence: Cell<u64>,
}

impl LoadPublisher<'_> {
    /// Sends a load update when the work changes, and repeats it every [`REPEAT_INTERVAL`] while
    /// there is work.
    async fn publish_load(&self, group: PeerGroup) {
        let mut changes = self.shared.subscribe_work_changes();
        // The first update asks the daemons nearby for what they know, also without any work.
        let mut last_sent = (group == PeerGroup::Remote).then(Vec::new);
        let mut sent_at = Instant::now();
        let mut extension_schedule = ExtensionSchedule::default();
        loop {
            let wakeup = tokio::time::timeout(REPEAT_INTERVAL, changes.changed()).await;
            let addresses = self.addresses(group);
            if addresses.is_empty() {
                continue;
            }
            let pause = SEND_INTERVAL_MIN.max(SEND_INTERVAL_PER_PEER * addresses.len() as u32);
            tokio::time::sleep(pause.saturating_sub(sent_at.elapsed())).await;
            changes.mark_unchanged();
            let work = self.work(group);
            let parts = self.parts(group);
            let extension = extension_schedule.take_due(self.shared);
            let is_repeat =
                last_sent.as_ref() == Some(&work) && parts.is_empty() && extension.is_none();
            if is_repeat && (wakeup.is_ok() || work.is_empty()) {
                continue;
            }
            last_sent = Some(work.clone());
            sent_at = Instant::now();
            self.send(work, parts, extension, &addresses);
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

    fn parts(&self, group: PeerGroup) -> Vec<CachedPart> {
        let mut engines = self.shared.engines.borrow_mut();
        match group {
            PeerGroup::Local => engines.take_unsent_local(),
            PeerGroup::Remote => engines.take_unsent_remote(),
        }
    }

    fn send(
        &self,
        work: Vec<(Name, EngineWork)>,
        parts: Vec<CachedPart>,
        extension: Option<(UpdateExtension, DepartureNews)>,
        addresses: &[SocketAddr],
    ) {
        self.sequence.set(self.sequence.get() + 1);
        let sender = Sender {
            daemon: self.shared.options.name.clone(),
            started_ms: self.started_ms,
        };
        let load_update = LoadUpdate::new(sender, self.sequence.get(), work, parts);
        let Ok(mut datagram) = postcard::to_allocvec(&load_update) else {
            return;
        };
        // Daemons of earlier versions ignore bytes after the load update.
        if let Some((extension, departures)) = extension {
            datagram.extend(postcard::to_allocvec(&extension).unwrap_or_default());
            if !departures.is_empty() {
                datagram.extend(postcard::to_allocvec(&departures).unwrap_or_default());
            }
        }
        for address in addresses {
            // A send error has the effect of a lost datagram: the next update replaces the work in
            // it, but does not repeat the parts.
            if let Err(error) = self.socket.try_send_to(&datagram, *address) {
                log::debug!(peer:% = address, error:% = error; "load update could not be sent");
            }
        }
    }

    /// Reads which endpoints have said to another daemon that they leave.
    fn receive_departures(&self, bytes: &[u8], daemon: &Name) {
        let shared = self.shared;
        let Ok(news) = postcard::from_bytes::<DepartureNews>(bytes) else {
            shared.metrics.count("news.unreadable", 1);
            return;
        };
        let now = shared.now();
        let mut registry = shared.registry.borrow_mut();
        for endpoint in registry.merge_departures(news.into_reports(now), now) {
            log::info!(
                endpoint:% = endpoint, reported_by:% = daemon;
                "endpoint says that it leaves"
            );
        }
    }

    /// Sends a new process what this daemon knows of crashes, limits and departures. Its registration
    /// may not have been read yet, so that it would not receive other load updates for seconds.
    fn inform(&self, address: SocketAddr) {
        let extension = ExtensionSchedule::default().take_due(self.shared);
        if extension.is_some() {
            let work = self.work(PeerGroup::Local);
            self.send(work, Vec::new(), extension, &[address]);
        }
    }

    async fn receive_load_updates(&self) {
        let shared = self.shared;
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(error:% = error; "load update could not be received");
                    continue;
                }
            };
            let parsed = postcard::take_from_bytes::<LoadUpdate>(&buffer[..length]);
            let Ok((load_update, rest)) = parsed else {
                shared.metrics.count("news.unreadable", 1);
                continue;
            };
            if shared.peers.borrow().is_new_process(&load_update) {
                self.inform(source);
            }
            if !shared.peers.borrow_mut().record_if_newer(&load_update) {
                continue;
            }
            let now = shared.now();
            let daemon = load_update.sender.daemon.clone();
            let mut engines = shared.engines.borrow_mut();
            engines.update_peer(&daemon, load_update.loads(), now);
            engines.record_peer_parts(load_update.parts(), now);
            drop(engines);
            if rest.is_empty() {
                continue;
            }
            let parsed = postcard::take_from_bytes::<UpdateExtension>(rest);
            let Ok((extension, rest)) = parsed else {
                shared.metrics.count("news.unreadable", 1);
                continue;
            };
            if !rest.is_empty() {
                self.receive_departures(rest, &daemon);
            }
            let reports = extension.rate_reports(now);
            let changed = shared.rate_limits.borrow_mut().merge(&daemon, reports, now);
            for (endpoint, per_second) in changed {
                log::info!(
                    endpoint:% = endpoint, requests_per_second:? = per_second, reported_by:% = daemon;
                    "limit of an endpoint changed"
                );
            }
            if let Some(report) = extension.evidence {
                shared.update_quarantine(|quarantine, now| {
                    quarantine.merge(report.into_evidence(now), now);
                });
            }
        }
    }
}
