use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::Peer;
use crate::Instant;

/// Time after an interruption of the source within which daemons register again, and within which
/// the registrations of stopped ones that an older copy has end with their leases.
const REREGISTRATION_TIME: Duration = Duration::from_secs(10);

/// The other daemons of the fleet.
///
/// The source is the service that lists the registrations. After an outage of it, or a rollback to
/// an older copy, a daemon that is not listed may only have had no time to register again. It is
/// kept for a while, as a message to a stopped daemon does no harm.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: HashMap<Name, Entry>,
    source_restored: Option<Instant>,
    source_rolled_back: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    peer: Peer,
    is_registered: bool,
    /// Other registration in a listing that may be from an older copy.
    listed: Option<Peer>,
}

impl PeerDirectory {
    /// Returns the known daemons.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().map(|entry| &entry.peer)
    }

    /// Returns the known daemons with their names.
    pub fn entries(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        let entries = self.peers.iter();
        entries.map(|(name, entry)| (name, &entry.peer))
    }

    /// Returns the names of the known daemons.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.peers.keys()
    }

    /// Returns the names of the known daemons in a data centre.
    pub fn names_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a Name> {
        let entries = self.peers.iter();
        let local = entries.filter(move |(_, entry)| *entry.peer.data_centre == *data_centre);
        local.map(|(name, _)| name)
    }

    /// Returns the number of known daemons.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no other daemon is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Records a registration that was written.
    pub fn put(&mut self, name: Name, peer: Peer) {
        let entry = Entry {
            peer,
            is_registered: true,
            listed: None,
        };
        self.peers.insert(name, entry);
    }

    /// Records that a registration has ended.
    pub fn remove(&mut self, name: &Name, now: Instant) {
        if !is_recent(self.source_restored, now) {
            self.peers.remove(name);
        } else if let Some(entry) = self.peers.get_mut(name) {
            entry.is_registered = false;
            entry.listed = None;
        }
    }

    /// Replaces all registrations by a complete listing.
    pub fn replace(&mut self, listed: Vec<(Name, Peer)>, now: Instant) {
        let names = self.peers.keys();
        let missing = names.filter(|name| !listed.iter().any(|(id, _)| id == *name));
        let missing: Vec<Name> = missing.cloned().collect();
        for name in missing {
            self.remove(&name, now);
        }
        let is_copy = is_recent(self.source_rolled_back, now);
        for (name, peer) in listed {
            match self.peers.get_mut(&name) {
                Some(known) if is_copy => {
                    known.is_registered = true;
                    known.listed = Some(peer);
                }
                _ => self.put(name, peer),
            }
        }
    }

    /// Records that an outage of the source has ended.
    pub fn source_restored(&mut self, now: Instant) {
        self.source_restored = Some(now);
    }

    /// Records that the source was rolled back to an older copy.
    pub fn source_rolled_back(&mut self, now: Instant) {
        self.source_restored = Some(now);
        self.source_rolled_back = Some(now);
    }

    /// Removes daemons that have not registered again in time, and goes by what was listed of the
    /// others.
    pub fn expire(&mut self, now: Instant) {
        if is_recent(self.source_restored, now) {
            return;
        }
        self.peers.retain(|_, entry| entry.is_registered);
        for entry in self.peers.values_mut() {
            if let Some(listed) = entry.listed.take() {
                entry.peer = listed;
            }
        }
    }
}

fn is_recent(interruption: Option<Instant>, now: Instant) -> bool {
    interruption.is_some_and(|at| now.since(at) < REREGISTRATION_TIME)
}
