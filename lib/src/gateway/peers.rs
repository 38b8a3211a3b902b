use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    Peer, PeerDirectory, RegistrationBatch, RegistrationChange, RegistrationContent, UpdateOrder,
};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

use super::load_update::LoadUpdate;
use super::shared::Shared;
use super::store_watcher::list_and_watch;
use super::watch_handler::{Read, WatchHandler};
use super::{Item, Update};

/// Prefix of the keys of daemons' registrations.
pub(super) const REGISTRATION_PREFIX: &str = "ragwortgrade/daemons/";
/// Interval between reads of the daemons' registrations.
pub(super) const READ_INTERVAL: Duration = Duration::from_secs(4);
/// Number of other daemons up to which all daemons exchange all work. In a larger fleet decode
/// engines are used mostly by the daemons of their data centre, which exchange work on them only
/// with each other.
const FULL_MESH_PEERS_MAX: usize = 32;

/// Registration document of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Registration {
    pub(super) address: SocketAddr,
    pub(super) data_centre: Name,
}

/// The other daemons of the fleet.
#[derive(Debug, Default)]
pub(super) struct Peers {
    pub(super) directory: PeerDirectory,
    /// Order of the load updates.
    order: UpdateOrder,
}

impl Peers {
    /// Returns the addresses of the daemons that receive all work: those of the data centre, or all
    /// of a small fleet.
    pub(super) fn local(&self, data_centre: &Name) -> Vec<SocketAddr> {
        self.addresses(|peer| self.is_local(peer, data_centre))
    }

    /// Returns the addresses of the daemons that receive only the work on prefill engines: those
    /// of the other data centres of a large fleet.
    pub(super) fn remote(&self, data_centre: &Name) -> Vec<SocketAddr> {
        self.addresses(|peer| !self.is_local(peer, data_centre))
    }

    fn is_local(&self, peer: &Peer, data_centre: &Name) -> bool {
        self.directory.len() <= FULL_MESH_PEERS_MAX || peer.data_centre == *data_centre
    }

    fn addresses(&self, is_recipient: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let recipients = self.directory.peers().filter(|peer| is_recipient(peer));
        recipients.map(|peer| peer.address).collect()
    }

    /// Returns whether a registered daemon has this address.
    pub(super) fn is_registered(&self, address: SocketAddr) -> bool {
        self.directory.peers().any(|peer| peer.address == address)
    }

    /// Records a load update; returns whether it is newer than the previous ones of its sender.
    pub(super) fn record_if_newer(&mut self, load_update: &LoadUpdate, now: Instant) -> bool {
        let sender = &load_update.sender;
        let (started_ms, sequence) = (sender.started_ms, load_update.sequence);
        self.order
            .record_if_newer(&sender.daemon, started_ms, sequence, now)
    }
}

/// Watches the registrations of the other daemons until the task is aborted.
pub(super) async fn watch_peers(shared: Rc<Shared>) {
    let handler = PeerHandler { shared: &shared };
    list_and_watch(&shared, REGISTRATION_PREFIX, &handler).await;
}

/// Changes the known daemons when registrations change.
pub(super) struct PeerHandler<'a> {
    pub(super) shared: &'a Shared,
}

impl PeerHandler<'_> {
    /// Applies changes that another daemon has read, as far as they are new.
    pub(super) fn apply_batch(&self, batch: RegistrationBatch, reported_by: &Name) {
        let new = self.shared.daemon_reads.record_batch(self.shared, batch);
        if !new.is_empty() {
            log::info!(
                reported_by:% = reported_by, changes = new.len();
                "registrations of daemons read by another daemon"
            );
            self.apply_changes(new);
        }
    }

    fn apply_changes(&self, changes: Vec<RegistrationChange>) {
        let now = self.shared.now();
        for change in changes {
            let value = match change.content {
                RegistrationContent::Removed => {
                    if let Some(name) = change.key.strip_prefix(REGISTRATION_PREFIX) {
                        let mut peers = self.shared.peers.borrow_mut();
                        peers.directory.remove(&name.into(), now);
                    }
                    continue;
                }
                RegistrationContent::Written(value) => Some(value),
                RegistrationContent::Unreadable => None,
            };
            if let Some((name, peer)) = self.parse(&change.key, value.as_deref()) {
                self.shared.peers.borrow_mut().directory.put(name, peer);
            }
        }
    }

    /// Parses the registration of another daemon.
    fn parse(&self, key: &str, value: Option<&[u8]>) -> Option<(Name, Peer)> {
        let name = key.strip_prefix(REGISTRATION_PREFIX)?;
        if *name == *self.shared.options.name {
            return None;
        }
        let parsed = value.and_then(|value| serde_json::from_slice::<Registration>(value).ok());
        let Some(registration) = parsed else {
            log::warn!(daemon = name; "registration of a daemon cannot be parsed");
            return None;
        };
        let peer = Peer {
            address: registration.address,
            data_centre: registration.data_centre,
        };
        Some((name.into(), peer))
    }
}

impl WatchHandler for PeerHandler<'_> {
    fn on_list(&self, items: Vec<Item>, read: Read) {
        let listed = items
            .iter()
            .filter_map(|item| self.parse(&item.key, item.value.as_deref()));
        let listed: Vec<(Name, Peer)> = listed.collect();
        if !self.shared.daemon_reads.record_listing(self.shared, read) {
            return;
        }
        let listed_len = listed.len();
        let now = self.shared.now();
        let mut peers = self.shared.peers.borrow_mut();
        peers.directory.replace(listed, now);
        log::info!(
            daemons = peers.directory.len(), listed = listed_len;
            "other daemons listed"
        );
        drop(peers);
        self.shared.notify_peer_list();
    }

    fn on_updates(&self, updates: Vec<Update>, after: u64, read: Read) {
        let reads = &self.shared.daemon_reads;
        self.apply_changes(reads.record_updates(self.shared, updates, after, read));
    }

    fn pause(&self, read_end: Instant) -> Duration {
        self.shared.daemon_reads.pause(self.shared, read_end)
    }

    fn wait_for_shorter_pause(&self) -> LocalBoxFuture<'_, ()> {
        let reads = &self.shared.daemon_reads;
        reads.wait_until_missed().boxed_local()
    }

    fn resume_after(&self, revision: u64) -> u64 {
        self.shared.daemon_reads.revision().unwrap_or(revision)
    }

    fn watch_timeout(&self) -> Duration {
        self.shared.daemon_reads.watch_timeout(self.shared)
    }
}
