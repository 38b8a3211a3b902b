use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::{Duration, Instant};

use ragwortgrade_schema::platform::{Entries, Entry, Write};

use super::{Fault, KeyValueSettings};
use crate::token_bucket::TokenBucket;

/// Limit for the size of a value; larger writes are refused.
const VALUE_BYTES_MAX: usize = 1 << 20;

/// Keys, leases, rate limiters and the current fault.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) fault: Fault,
    pub(super) stopped: bool,
    pub(super) writes: u64,
    pub(super) reads: u64,
    pub(super) rate_limited: u64,
    data: Data,
    snapshot: Data,
    leases: HashMap<u64, LeaseState>,
    last_lease: u64,
    write_rate: TokenBucket,
    read_rate: TokenBucket,
}

/// State that a rollback restores.
#[derive(Clone, Debug, Default)]
struct Data {
    keys: BTreeMap<String, Record>,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Record {
    /// `None` for a deleted key, which watches still report.
    value: Option<String>,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    expires_at: Instant,
}

impl Store {
    pub(super) fn open(settings: &KeyValueSettings) -> Self {
        Self {
            fault: Fault::None,
            stopped: false,
            writes: 0,
            reads: 0,
            rate_limited: 0,
            data: Data::default(),
            snapshot: Data::default(),
            leases: HashMap::new(),
            last_lease: 0,
            write_rate: TokenBucket::open(settings.writes_per_second),
            read_rate: TokenBucket::open(settings.reads_per_second),
        }
    }

    /// Counts a call and returns whether the rate limit admits it.
    pub(super) fn admit(&mut self, is_write: bool, now: Instant) -> bool {
        let admitted = if is_write {
            self.writes += 1;
            self.write_rate.take(1.0, now)
        } else {
            self.reads += 1;
            self.read_rate.take(1.0, now)
        };
        self.rate_limited += u64::from(!admitted);
        admitted
    }

    /// Sets the fault. A rollback takes effect at once and leaves no fault behind.
    pub(super) fn set_fault(&mut self, fault: Fault) {
        if fault == Fault::Rollback {
            self.data = self.snapshot.clone();
            self.delete_orphaned_keys();
            self.fault = Fault::None;
        } else {
            self.fault = fault;
        }
    }

    /// Saves the keys and the revision for a later rollback.
    pub(super) fn take_snapshot(&mut self) {
        self.snapshot = self.data.clone();
    }

    /// Returns whether the fault drops the response to this call, and decrements its counter.
    pub(super) fn consume_lost_answer(&mut self) -> bool {
        match &mut self.fault {
            Fault::LostAnswers { count } if *count > 0 => {
                *count -= 1;
                true
            }
            _ => false,
        }
    }

    pub(super) fn get(&self, key: &str) -> Option<Entry> {
        let record = self.data.keys.get(key)?;
        record.value.as_ref()?;
        Some(entry(key, record))
    }

    /// Writes a key and returns its new revision.
    ///
    /// When the expected revision differs, the lease has ended or the value is too large, returns
    /// the key's current revision as the error, which is 0 if the key does not exist.
    pub(super) fn write(&mut self, write: &Write) -> Result<u64, u64> {
        let current = self.get(&write.key).map_or(0, |entry| entry.revision);
        let lease_ended = write
            .lease
            .is_some_and(|lease| !self.leases.contains_key(&lease));
        let too_large = write
            .value
            .as_ref()
            .is_some_and(|value| value.len() > VALUE_BYTES_MAX);
        if current != write.expect || lease_ended || too_large {
            return Err(current);
        }
        Ok(self.put(&write.key, write.value.clone(), write.lease))
    }

    pub(super) fn list(&self, prefix: &str, after: &str) -> Entries {
        let start = if prefix > after {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let range = self.data.keys.range::<str, _>((start, Bound::Unbounded));
        let entries = range
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, record)| record.value.is_some())
            .map(|(key, record)| entry(key, record))
            .collect();
        Entries {
            entries,
            revision: self.data.revision,
        }
    }

    /// Returns the keys that changed after a revision, in order of revision. Deleted keys have a
    /// null value.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Entries {
        let range = self
            .data
            .keys
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let mut entries: Vec<Entry> = range
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, record)| record.revision > after)
            .map(|(key, record)| entry(key, record))
            .collect();
        entries.sort_by_key(|entry| entry.revision);
        Entries {
            entries,
            revision: self.data.revision,
        }
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.last_lease, LeaseState { ttl, expires_at });
        self.last_lease
    }

    pub(super) fn keep_alive(&mut self, lease: u64, now: Instant) -> bool {
        self.expire(now);
        let Some(lease_state) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease_state.expires_at = now + lease_state.ttl;
        true
    }

    pub(super) fn revoke(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        self.delete_orphaned_keys();
        existed
    }

    /// Removes expired leases and returns whether keys were deleted with them.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases
            .retain(|_, lease_state| lease_state.expires_at > now);
        before != self.leases.len() && self.delete_orphaned_keys()
    }

    /// Deletes the keys whose lease no longer exists and returns whether there were any.
    fn delete_orphaned_keys(&mut self) -> bool {
        let orphaned: Vec<String> = self
            .data
            .keys
            .iter()
            .filter(|(_, record)| record.value.is_some())
            .filter(|(_, record)| {
                record
                    .lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in &orphaned {
            self.put(key, None, None);
        }
        !orphaned.is_empty()
    }

    fn put(&mut self, key: &str, value: Option<String>, lease: Option<u64>) -> u64 {
        self.data.revision += 1;
        let revision = self.data.revision;
        let record = Record {
            value,
            revision,
            lease,
        };
        self.data.keys.insert(key.to_owned(), record);
        revision
    }
}

fn entry(key: &str, record: &Record) -> Entry {
    Entry {
        key: key.to_owned(),
        revision: record.revision,
        value: record.value.clone(),
    }
}
