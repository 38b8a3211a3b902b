use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Data of a [`Store`](super::Store) at one time.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the new value, or `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// Whether leases that are not renewed end.
    expires_leases: bool,
    last_lease: u64,
    /// Leases, with the time at which each ends unless it is renewed, if it has one.
    leases: BTreeMap<u64, Lease>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Option<Duration>,
    renewed_at: Instant,
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    /// Lease with which the item ends; 0 if it has none.
    lease: u64,
}

impl StoreCopy {
    pub(super) fn empty() -> Self {
        Self {
            revision: 1,
            ..Self::default()
        }
    }

    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    pub(super) fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(super) fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let change = (self.revision, key.to_owned(), Some(value.to_owned()));
        self.history.push(change);
    }

    pub(super) fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
        self.history.push((self.revision, key.to_owned(), None));
    }

    pub(super) fn set_expiring(&mut self) {
        self.expires_leases = true;
    }

    /// Grants a lease; without `ttl` it does not expire.
    pub(super) fn grant_lease(&mut self, ttl: Option<Duration>) -> u64 {
        self.last_lease += 1;
        let renewed_at = Instant::now();
        self.leases
            .insert(self.last_lease, Lease { ttl, renewed_at });
        self.last_lease
    }

    pub(super) fn renew_lease(&mut self, lease: u64) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.renewed_at = Instant::now();
        }
    }

    /// Ends the leases that have expired; returns whether there were any.
    pub(super) fn expire_leases(&mut self) -> bool {
        let leases = self.leases.iter();
        let is_expired = |lease: &Lease| {
            lease
                .ttl
                .is_some_and(|ttl| lease.renewed_at.elapsed() >= ttl)
        };
        let expired = leases.filter(|(_, lease)| is_expired(lease));
        let expired: Vec<u64> = expired.map(|(number, _)| *number).collect();
        for lease in &expired {
            self.end_lease(*lease);
        }
        !expired.is_empty()
    }

    /// Returns the revision of a key, 0 if there is none.
    pub(super) fn key_revision(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    /// Returns a key as the service lists it.
    pub(super) fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({ "key": key, "value": item.value, "revision": item.revision }))
    }

    pub(super) fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter();
        let ended = items.filter(|(_, item)| item.lease == lease);
        let ended: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        for key in ended {
            self.remove(&key);
        }
    }

    /// Returns the page of at most `items_max` items that begins after the key `after`.
    pub(super) fn range(&self, prefix: &str, after: &str, items_max: usize) -> Value {
        let items = self.items.iter();
        let mut rest = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<Value> = rest
            .by_ref()
            .take(items_max)
            .map(
                |(key, item)| json!({ "key": key, "value": item.value, "revision": item.revision }),
            )
            .collect();
        let has_more = rest.next().is_some();
        json!({ "items": page, "morePages": has_more, "storeRevision": self.revision })
    }

    pub(super) fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let changes = self.history.iter();
        let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        changes
            .map(|(at, key, value)| match value {
                Some(value) => json!({ "key": key, "value": value, "revision": at }),
                None => json!({ "key": key, "revision": at, "removed": true }),
            })
            .collect()
    }
}
