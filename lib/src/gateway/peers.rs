use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

use super::load_update::LoadUpdate;
use super::shared::Shared;
use super::store_watcher::{WatchHandler, list_and_watch};
use super::{Item, Update};

/// Prefix of the keys of daemons' registrations.
pub(super) const REGISTRATION_PREFIX: &str = "ragwortgrade/daemons/";
/// Interval between reads of the daemons' registrations.
const READ_INTERVAL: Duration = Duration::from_secs(4);
/// Number of other daemons up to which all daemons exchange all work. In a larger fleet decode
/// engines are used mostly by the daemons of their data centre, which exchange work on them only
/// with each other.
const FULL_MESH_PEERS_MAX: usize = 16;

/// Registration document of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Registration {
    pub(super) address: SocketAddr,
    pub(super) data_centre: Name,
}

/// The other daemons of the fleet.
#[derive(Debug, Default)]
pub(super) struct Peers {
    registrations: HashMap<Name, Registration>,
    /// Latest load update of each daemon: start time of its process and sequence number.
    latest: HashMap<Name, (u64, u64)>,
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

    fn is_local(&self, peer: &Registration, data_centre: &Name) -> bool {
        self.registrations.len() <= FULL_MESH_PEERS_MAX || peer.data_centre == *data_centre
    }

    fn addresses(&self, is_recipient: impl Fn(&Registration) -> bool) -> Vec<SocketAddr> {
        let recipients = self
            .registrations
            .values()
            .filter(|peer| is_recipient(peer));
        recipients.map(|peer| peer.address).collect()
    }

    /// Returns whether this is the first load update of a process. The process may know nothing of
    /// what the other daemons have learned.
    pub(super) fn is_new_process(&self, load_update: &LoadUpdate) -> bool {
        let sender = &load_update.sender;
        let latest = self.latest.get(&sender.daemon);
        latest.is_none_or(|(started_ms, _)| *started_ms != sender.started_ms)
    }

    /// Records a load update; returns whether it is newer than the previous ones of its sender.
    pub(super) fn record_if_newer(&mut self, load_update: &LoadUpdate) -> bool {
        let sender = &load_update.sender;
        let position = (sender.started_ms, load_update.sequence);
        match self.latest.entry(sender.daemon.clone()) {
            Entry::Occupied(latest) if *latest.get() >= position => false,
            Entry::Occupied(mut latest) => {
                latest.insert(position);
                true
            }
            Entry::Vacant(entry) => {
                entry.insert(position);
                true
            }
        }
    }
}

/// Watches the registrations of the other daemons until the task is aborted.
pub(super) async fn watch_peers(shared: Rc<Shared>) {
    let handler = PeerHandler {
        shared: Rc::clone(&shared),
    };
    list_and_watch(&shared, REGISTRATION_PREFIX, READ_INTERVAL, &handler).await;
}

struct PeerHandler {
    shared: Rc<Shared>,
}

impl PeerHandler {
    fn apply_item(&self, item: &Item) {
        let Some(name) = item.key.strip_prefix(REGISTRATION_PREFIX) else {
            return;
        };
        if *name == *self.shared.options.name {
            return;
        }
        let parsed = item
            .value
            .as_ref()
            .and_then(|value| serde_json::from_slice::<Registration>(value).ok());
        match parsed {
            Some(registration) => {
                let mut peers = self.shared.peers.borrow_mut();
                peers.registrations.insert(name.into(), registration);
            }
            None => log::warn!(daemon = name; "registration of a daemon cannot be parsed"),
        }
    }
}

impl WatchHandler for PeerHandler {
    fn on_list(&self, items: Vec<Item>) {
        self.shared.peers.borrow_mut().registrations.clear();
        for item in &items {
            self.apply_item(item);
        }
        let daemons = self.shared.peers.borrow().registrations.len();
        log::info!(daemons = daemons; "other daemons listed");
        self.shared.notify_work_changed();
    }

    fn on_update(&self, update: Update) {
        match update {
            Update::Written(item) => self.apply_item(&item),
            Update::Removed(key) => {
                if let Some(name) = key.strip_prefix(REGISTRATION_PREFIX) {
                    let name = Name::from(name);
                    self.shared.peers.borrow_mut().registrations.remove(&name);
                }
            }
        }
    }

    fn on_disconnect(&self) {}

    fn on_reconnect(&self) {}
}
