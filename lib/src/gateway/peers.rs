use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
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
/// Daemons up to which everyone tells everyone. In a larger fleet the engines of a data centre are
/// used by its own daemons, and only they tell each other.
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
    /// Newest datagram of each daemon: start of its process and number. Sums are numbered apart.
    newest: HashMap<(Name, bool), (u64, u64)>,
}

impl Peers {
    /// Returns where news are sent.
    pub(super) fn addresses(&self, data_centre: &Name) -> Vec<SocketAddr> {
        let is_small = self.registered.len() <= EVERYONE_MAX;
        let told = self
            .registered
            .values()
            .filter(|peer| is_small || peer.data_centre == *data_centre);
        told.map(|peer| peer.address).collect()
    }

    /// Returns the daemons in other data centres to which this one tells the sum of its own data
    /// centre's work: in a large fleet each daemon is told by one of every other data centre.
    pub(super) fn partners(&self, own: &Name, data_centre: &Name) -> Vec<SocketAddr> {
        if self.registered.len() <= EVERYONE_MAX {
            return Vec::new();
        }
        let mut by_data_centre: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for (name, registration) in &self.registered {
            let names = by_data_centre.entry(&registration.data_centre).or_default();
            names.push(name);
        }
        let near = by_data_centre.remove(data_centre).unwrap_or_default();
        let rank = near.iter().filter(|name| **name < own).count();
        let daemons = near.len() + 1;
        let partners = by_data_centre.into_values().flat_map(|mut names| {
            names.sort_unstable();
            names.into_iter().skip(rank).step_by(daemons)
        });
        partners.map(|name| self.registered[name].address).collect()
    }

    /// Tells whether a datagram is newer than those that came before.
    pub(super) fn is_newer(&mut self, news: &News) -> bool {
        let teller = &news.teller;
        let number = (teller.started_ms, news.sequence);
        let key = (teller.daemon.clone(), teller.sum_of.is_some());
        match self.newest.entry(key) {
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
