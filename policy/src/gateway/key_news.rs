use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::{Catalog, KeyChange, KeyChanges, KeyDigest};
use crate::Instant;

/// Maximum number of changes in one part. With names of 10 bytes it takes about 800 bytes.
const PART_CHANGES_MAX: usize = 16;
/// Maximum number of parts of one version. A version with more than 1,024 changes is told in part;
/// the removed keys come first.
const PARTS_MAX: usize = 64;
/// Time for which parts are told to daemons that lack them: refusals by the store and cuts last up
/// to 9 s, and a store is restored from a copy that is some seconds old.
const TELL_TIME: Duration = Duration::from_mins(2);
/// Maximum number of parts that are held, at about 1 KB each.
const PARTS_HELD_MAX: usize = 128;
/// Time for which the latest change of a key is known, much longer than the store refuses a daemon.
const KNOWN_TIME: Duration = Duration::from_hours(1);
/// Maximum number of keys whose latest change is known, at about 120 bytes each.
const KNOWN_MAX: usize = 4_096;

/// Changes of keys that other daemons have read, for a daemon that the store refuses.
///
/// Load: a few changed keys a minute. The latest change of each key counts, whatever the order in
/// which changes arrive, so that they may be told again and by several daemons.
#[derive(Debug, Default)]
pub struct KeyNews {
    known: HashMap<KeyDigest, Known>,
    /// Keys in `known` with the times at which they were added, the oldest first.
    known_order: VecDeque<(Instant, KeyDigest)>,
    /// Parts that are told to daemons that lack them, the oldest first.
    held: VecDeque<KeyChanges>,
    /// Parts that this daemon has read and not yet told.
    unsent: Vec<KeyChanges>,
    newest_version: u64,
}

#[derive(Debug)]
struct Known {
    version: u64,
    change: KeyChange,
}

impl KeyNews {
    /// Records that a version of the configuration has replaced another one. Returns the number of
    /// its changes that are not told, as there are too many.
    pub fn record_applied(&mut self, previous: &Catalog, current: &Catalog, now: Instant) -> usize {
        let (Some(before), Some(tenants)) = (previous.tenants(), current.tenants()) else {
            return 0;
        };
        let changes = tenants.changes_since(before);
        // A version without changes of keys is told, too.
        let no_changes = changes.is_empty().then_some([].as_slice());
        let chunks = changes.chunks(PART_CHANGES_MAX).chain(no_changes);
        let parts = chunks.take(PARTS_MAX).zip(0..);
        for (changes, part) in parts {
            let changes = KeyChanges {
                version: current.version(),
                after: previous.version(),
                part,
                applied_at: now,
                changes: changes.to_vec(),
            };
            self.unsent.push(changes.clone());
            self.merge(changes, now);
        }
        changes.len().saturating_sub(PART_CHANGES_MAX * PARTS_MAX)
    }

    /// Returns the latest version that this or another daemon has read.
    #[must_use]
    pub const fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Adds changes that this or another daemon has read; returns whether any was not known.
    pub fn merge(&mut self, changes: KeyChanges, now: Instant) -> bool {
        self.newest_version = self.newest_version.max(changes.version);
        let mut is_news = false;
        for change in &changes.changes {
            let known = self.known.get(&change.digest);
            if known.is_some_and(|known| known.version >= changes.version) {
                continue;
            }
            is_news = true;
            let known = Known {
                version: changes.version,
                change: change.clone(),
            };
            if self.known.insert(change.digest, known).is_none() {
                self.known_order.push_back((now, change.digest));
            }
        }
        let is_same = |held: &KeyChanges| {
            let id = |it: &KeyChanges| (it.version, it.after, it.part);
            id(held) == id(&changes)
        };
        if !self.held.iter().any(is_same) {
            self.held.push_back(changes);
        }
        self.expire(now);
        is_news
    }

    /// Returns the latest change of a key, if it was made after a version.
    #[must_use]
    pub fn change_after(&self, digest: &KeyDigest, version: u64) -> Option<&KeyChange> {
        let known = self.known.get(digest)?;
        (known.version > version).then_some(&known.change)
    }

    /// Returns the tenant from which a key was removed, if that is known.
    #[must_use]
    pub fn former_tenant(&self, digest: &KeyDigest) -> Option<&Name> {
        let change = &self.known.get(digest)?.change;
        change.is_removed.then_some(&change.tenant)
    }

    /// Takes the changes that this daemon has read since the last call.
    pub fn take_unsent(&mut self) -> Vec<KeyChanges> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the changes that are told to daemons that lack them.
    pub fn held(&self, now: Instant) -> impl Iterator<Item = &KeyChanges> {
        let held = self.held.iter();
        held.filter(move |it| now.since(it.applied_at) < TELL_TIME)
    }

    fn expire(&mut self, now: Instant) {
        self.held.retain(|it| now.since(it.applied_at) < TELL_TIME);
        let excess = self.held.len().saturating_sub(PARTS_HELD_MAX);
        self.held.drain(..excess);
        while let Some((added_at, digest)) = self.known_order.front().copied() {
            let is_over = self.known_order.len() > KNOWN_MAX;
            if !is_over && now.since(added_at) < KNOWN_TIME {
                return;
            }
            self.known_order.pop_front();
            self.known.remove(&digest);
        }
    }
}
