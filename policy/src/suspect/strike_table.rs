use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::Strike;

use super::{ContentDigest, format_digest, parse_digest};
use crate::Instant;

/// Time for which a strike counts.
const STRIKE_LIFETIME: Duration = Duration::from_mins(10);
/// Number of strikes from which on a content is refused. Each strike is the crash of another
/// incarnation of an endpoint, so two crashes of one endpoint count twice.
const REFUSAL_STRIKES: usize = 2;
/// Maximum number of contents; beyond it the oldest are evicted. A batch of 128 on each of 91
/// engines fits.
const CONTENTS_MAX: usize = 16_384;
/// Number of contents after an eviction, lower than the maximum so that evictions are rare.
const CONTENTS_AFTER_EVICTION: usize = CONTENTS_MAX / 8 * 7;
/// Maximum number of strikes per content; more do not change a refusal.
const STRIKES_PER_CONTENT_MAX: usize = 4;
/// Maximum number of strikes in one gossip message, about 8 KB; only crashes cause them.
const GOSSIP_STRIKES_MAX: usize = 48;
/// Number of times that a strike is gossiped; with two peers a second, it reaches 50 daemons after
/// six rounds.
const GOSSIP_ROUNDS: u8 = 12;

/// Strikes against the contents of requests.
#[derive(Debug, Default)]
pub struct StrikeTable {
    contents: HashMap<ContentDigest, Vec<Entry>>,
}

/// Where a request with a certain content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// On any endpoint.
    Allowed,
    /// Only on an endpoint that runs no other content with a strike.
    Trial,
    /// Nowhere: endpoints that ran it crashed twice.
    Refused,
}

/// A strike against one content, from the crash of one incarnation of an endpoint.
#[derive(Clone, Debug)]
struct Entry {
    endpoint: Name,
    incarnation: u64,
    /// Whether the request was the only one that its daemon ran on the endpoint.
    alone: bool,
    /// Whether a request with this content has completed since.
    cleared: bool,
    at: Instant,
    /// Number of times that this daemon has gossiped the entry in its present state.
    gossiped: u8,
}

impl StrikeTable {
    /// Returns where a request with this content may run.
    #[must_use]
    pub fn admission(&self, content: ContentDigest, now: Instant) -> Admission {
        let Some(entries) = self.contents.get(&content) else {
            return Admission::Allowed;
        };
        let active = entries.iter().filter(|entry| entry.is_active(now)).count();
        match active {
            0 => Admission::Allowed,
            REFUSAL_STRIKES.. => Admission::Refused,
            _ => Admission::Trial,
        }
    }

    /// Records the crash of an endpoint that ran a content.
    pub fn record_crash(
        &mut self,
        content: ContentDigest,
        endpoint: &Name,
        incarnation: u64,
        alone: bool,
        now: Instant,
    ) {
        let entry = Entry {
            endpoint: endpoint.clone(),
            incarnation,
            alone,
            cleared: false,
            at: now,
            gossiped: 0,
        };
        self.put(content, entry);
    }

    /// Clears the strikes against a content whose request completed: the content did not cause the
    /// crashes so far.
    pub fn record_completion(&mut self, content: ContentDigest) {
        for entry in self.contents.get_mut(&content).into_iter().flatten() {
            if !entry.cleared {
                entry.cleared = true;
                entry.gossiped = 0;
            }
        }
    }

    /// Returns the unexpired strikes against one content, also those that are cleared.
    #[must_use]
    pub fn strikes(&self, content: ContentDigest, now: Instant) -> Vec<Strike> {
        let entries = self.contents.get(&content).into_iter().flatten();
        let unexpired = entries.filter(|entry| entry.is_unexpired(now));
        unexpired.map(|entry| entry.to_strike(content)).collect()
    }

    /// Returns strikes to gossip, those sent least often first.
    pub fn strikes_for_gossip(&mut self, now: Instant) -> Vec<Strike> {
        let mut due: Vec<(ContentDigest, &mut Entry)> = self
            .contents
            .iter_mut()
            .flat_map(|(content, entries)| entries.iter_mut().map(|entry| (*content, entry)))
            .filter(|(_, entry)| entry.is_unexpired(now) && entry.gossiped < GOSSIP_ROUNDS)
            .collect();
        due.sort_by_key(|(_, entry)| entry.gossiped);
        due.truncate(GOSSIP_STRIKES_MAX);
        let strikes = due.into_iter().map(|(content, entry)| {
            entry.gossiped += 1;
            entry.to_strike(content)
        });
        strikes.collect()
    }

    /// Adds the strikes of a peer; their lifetime starts now.
    pub fn merge(&mut self, strikes: &[Strike], now: Instant) {
        for strike in strikes {
            if let Some(content) = parse_digest(&strike.content) {
                let entry = Entry {
                    endpoint: strike.endpoint.clone(),
                    incarnation: strike.incarnation,
                    alone: strike.alone,
                    cleared: strike.cleared,
                    at: now,
                    gossiped: 0,
                };
                self.put(content, entry);
            }
        }
    }

    /// Removes expired strikes, and the oldest contents beyond the maximum.
    pub fn expire(&mut self, now: Instant) {
        self.contents.retain(|_, entries| {
            entries.retain(|entry| entry.is_unexpired(now));
            !entries.is_empty()
        });
        if self.contents.len() > CONTENTS_MAX {
            self.evict_oldest(self.contents.len() - CONTENTS_AFTER_EVICTION);
        }
    }

    /// Removes the `count` contents whose newest strikes are the oldest.
    fn evict_oldest(&mut self, count: usize) {
        let newest = |entries: &Vec<Entry>| entries.iter().map(|entry| entry.at).max();
        let mut by_time: Vec<_> = self
            .contents
            .iter()
            .map(|(content, entries)| (newest(entries), *content))
            .collect();
        by_time.sort_unstable();
        for (_, content) in by_time.into_iter().take(count) {
            self.contents.remove(&content);
        }
    }

    /// Adds an entry. A crash counts once, and a cleared entry stays cleared. When a content has
    /// the maximum number of entries, the new one replaces a cleared one or is dropped.
    fn put(&mut self, content: ContentDigest, new: Entry) {
        let now = new.at;
        let entries = self.contents.entry(content).or_default();
        let is_same_crash = |entry: &&mut Entry| {
            entry.endpoint == new.endpoint && entry.incarnation == new.incarnation
        };
        if let Some(entry) = entries.iter_mut().find(is_same_crash) {
            if new.cleared && !entry.cleared {
                entry.cleared = true;
                entry.gossiped = 0;
            }
            return;
        }
        if entries.len() >= STRIKES_PER_CONTENT_MAX
            && let Some(cleared) = entries.iter().position(|entry| entry.cleared)
        {
            entries.remove(cleared);
        }
        if entries.len() < STRIKES_PER_CONTENT_MAX {
            entries.push(new);
        }
        if self.contents.len() > CONTENTS_MAX {
            self.expire(now);
        }
    }
}

impl Entry {
    fn is_unexpired(&self, now: Instant) -> bool {
        now.since(self.at) < STRIKE_LIFETIME
    }

    fn is_active(&self, now: Instant) -> bool {
        !self.cleared && self.is_unexpired(now)
    }

    fn to_strike(&self, content: ContentDigest) -> Strike {
        Strike {
            content: format_digest(content),
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            alone: self.alone,
            cleared: self.cleared,
        }
    }
}
