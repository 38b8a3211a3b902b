use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

use super::follower::{Sink, follow};
use super::news::News;
use super::shared::Shared;
use super::{Item, Update};

/// Prefix of the keys under which daemons register themselves.
pub(super) const PREFIX: &str = "ragwortgrade/daemons/";
/// Pause between two reads of the daemons' registrations.
const READ_PAUSE: Duration = Duration::from_secs(4);
/// Daemons up to which everyone tells everyone all work. In a larger fleet decode engines are used by
/// the daemons of their data centre, and only they tell each other of them.
const EVERYONE_MAX: usize = 16;

/// Registration of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Registration {
    pub(super) address: SocketAddr,
    pub(super) data_centre: Name,
}

/// The other daemons.
#[derive(Debug, Default)]
pub(super) struct Peers {
    registered: HashMap<Name, Registration>,
    /// Newest datagram of each daemon: start of its process and number.
    newest: HashMap<Name, (u64, u64)>,
}

impl Peers {
    /// Returns the daemons that are told all work: those of the data centre, or all of a small
    /// fleet.
    pub(super) fn near(&self, data_centre: &Name) -> Vec<SocketAddr> {
        self.addresses(|peer| self.is_near(peer, data_centre))
    }

    /// Returns the daemons of a large fleet that are told only what concerns all of it.
    pub(super) fn far(&self, data_centre: &Name) -> Vec<SocketAddr> {
        self.addresses(|peer| !self.is_near(peer, data_centre))
    }

    fn is_near(&self, peer: &Registration, data_centre: &Name) -> bool {
        self.registered.len() <= EVERYONE_MAX || peer.data_centre == *data_centre
    }

    fn addresses(&self, is_told: impl Fn(&Registration) -> bool) -> Vec<SocketAddr> {
        let told = self.registered.values().filter(|peer| is_told(peer));
        told.map(|peer| peer.address).collect()
    }

    /// Tells whether a datagram is newer than those that came before.
    pub(super) fn is_newer(&mut self, news: &News) -> bool {
        let teller = &news.teller;
        let number = (teller.started_ms, news.sequence);
        match self.newest.entry(teller.daemon.clone()) {
            Entry::Occupied(newest) if *newest.get() >= number => false,
            Entry::Occupied(mut newest) => {
                newest.insert(number);
                true
            }
            Entry::Vacant(entry) => {
                entry.insert(number);
                true
            }
        }
    }
}

/// Follows the registrations of the other daemons until the task is ended.
pub(super) async fn follow_peers(shared: Rc<Shared>) {
    let store = Rc::clone(&shared.options.store);
    let sink = PeerSink {
        shared: Rc::clone(&shared),
    };
    follow(&shared, &*store, PREFIX, READ_PAUSE, &sink).await;
}

struct PeerSink {
    shared: Rc<Shared>,
}

impl PeerSink {
    fn take(&self, item: &Item) {
        let Some(name) = item.key.strip_prefix(PREFIX) else {
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
                peers.registered.insert(name.into(), registration);
            }
            None => log::warn!(daemon = name; "registration of a daemon cannot be read"),
        }
    }
}

impl Sink for PeerSink {
    fn listed(&self, items: Vec<Item>) {
        self.shared.peers.borrow_mut().registered.clear();
        for item in &items {
            self.take(item);
        }
        let daemons = self.shared.peers.borrow().registered.len();
        log::info!(daemons = daemons; "other daemons listed");
    }

    fn changed(&self, update: Update) {
        match update {
            Update::Written(item) => self.take(&item),
            Update::Removed(key) => {
                if let Some(name) = key.strip_prefix(PREFIX) {
                    let name = Name::from(name);
                    self.shared.peers.borrow_mut().registered.remove(&name);
                }
            }
        }
    }

    fn lost(&self) {}

    fn back(&self) {}
}
