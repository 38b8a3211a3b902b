use std::collections::{HashMap, HashSet};

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::Recorded;
use serde::{Deserialize, Serialize};

use super::{Chunk, Hash128, Record};

/// Time after which a key can be claimed again.
pub(super) const LIFETIME_MS: u64 = 24 * 60 * 60 * 1_000;
/// Time for which claims are kept in full in memory, unless the response bodies exceed their limit;
/// older claims are evicted when the log is compacted.
const FULL_RETENTION_MS: u64 = 60 * 60 * 1_000;
/// Total size of the response bodies of a shard's claims in memory above which the log is compacted
/// and claims are evicted; all shards on one daemon then use 64 MB.
const BODY_BYTES_MAX: usize = 8 << 20;

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The attempt may still be running.
    Pending,
    /// The request ran, and the endpoint responded.
    Done(Recorded),
    /// The request was sent and its outcome is not known.
    Unknown,
    /// The request did not run.
    Released,
}

/// A claim of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Digest of the request's content.
    #[serde(rename = "request")]
    pub digest: Hash128,
    /// Daemon that requested the claim.
    pub claimant: Name,
    /// Incarnation of that daemon.
    pub incarnation: u64,
    /// Identity of the attempt that may send the request.
    pub attempt: Hash128,
    /// Unix time of the claim in milliseconds.
    pub at_ms: u64,
    /// Outcome of the claim.
    pub outcome: Outcome,
}

/// Claims of one shard: recent ones in full, older ones as fingerprints that index the snapshot
/// chunks.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Table {
    full: HashMap<Hash128, Claim>,
    /// Keys that changed since the last compaction.
    dirty: HashSet<Hash128>,
    /// Indexes of the chunks, in the order of the chunks' numbers.
    chunks: Vec<ChunkIndex>,
    /// Total size of the response bodies in `full`.
    body_bytes: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct ChunkIndex {
    number: u64,
    /// Unix time of the chunk's newest claim in milliseconds.
    newest_ms: u64,
    /// Sorted fingerprints of the chunk's keys.
    fingerprints: Vec<u64>,
}

/// Result of looking up a key.
#[derive(Debug)]
pub(super) enum Found<'a> {
    Claim(&'a Claim),
    /// One of these chunks, newest first, may contain the key.
    Chunks(Vec<u64>),
    Nowhere,
}

impl Table {
    /// Looks up a key; `excluded_chunks` were read and do not contain it.
    pub(super) fn find(&self, key: Hash128, excluded_chunks: &[u64], now_ms: u64) -> Found<'_> {
        if let Some(claim) = self.full.get(&key) {
            return if claim.is_live(now_ms) {
                Found::Claim(claim)
            } else {
                Found::Nowhere
            };
        }
        let chunks: Vec<u64> = self
            .chunks
            .iter()
            .rev()
            .filter(|index| index.newest_ms + LIFETIME_MS > now_ms)
            .filter(|index| !excluded_chunks.contains(&index.number))
            .filter(|index| index.fingerprints.binary_search(&key.fingerprint()).is_ok())
            .map(|index| index.number)
            .collect();
        if chunks.is_empty() {
            Found::Nowhere
        } else {
            Found::Chunks(chunks)
        }
    }

    /// Applies a record in the order of the log.
    ///
    /// Two attempts hold claims of one key at once only after the service lost data on which an
    /// owner had acted. The key then stays with the attempt that is first in the log: its outcome
    /// becomes unknown unless it is done, and it may still report one; outcomes of the other
    /// attempt are ignored.
    pub(super) fn apply(&mut self, record: &Record) {
        match record {
            Record::Claimed {
                key,
                digest,
                claimant,
                incarnation,
                attempt,
                at_ms,
            } => {
                let held = self.full.get(key).filter(|held| held.is_live(*at_ms));
                match held {
                    Some(held) if held.attempt == *attempt => {
                        self.dirty.insert(*key);
                        return;
                    }
                    Some(held) if held.outcome != Outcome::Released => {
                        let first = held.attempt;
                        return self.set_outcome(*key, first, Outcome::Unknown);
                    }
                    _ => {}
                }
                let claim = Claim {
                    digest: *digest,
                    claimant: claimant.clone(),
                    incarnation: *incarnation,
                    attempt: *attempt,
                    at_ms: *at_ms,
                    outcome: Outcome::Pending,
                };
                self.put(*key, claim);
                self.dirty.insert(*key);
            }
            Record::Done {
                key,
                attempt,
                recorded,
            } => self.set_outcome(*key, *attempt, Outcome::Done(recorded.clone())),
            Record::Unknown { key, attempt } => self.set_outcome(*key, *attempt, Outcome::Unknown),
            Record::Released { key, attempt } => {
                self.set_outcome(*key, *attempt, Outcome::Released);
            }
        }
    }

    /// Inserts a claim read from a chunk unless the key is held in full.
    pub(super) fn insert_from_chunk(&mut self, key: Hash128, claim: Claim) {
        if !self.full.contains_key(&key) {
            self.put(key, claim);
        }
    }

    /// Indexes a chunk and keeps its recent claims in full.
    pub(super) fn add_chunk(&mut self, number: u64, chunk: &Chunk, now_ms: u64) {
        for (key, claim) in &chunk.entries {
            if claim.at_ms + FULL_RETENTION_MS > now_ms {
                self.put(*key, claim.clone());
            } else if let Some(older) = self.full.remove(key) {
                // This chunk contains the newer state.
                self.body_bytes -= older.body_bytes();
            }
        }
        self.chunks.push(ChunkIndex::of(number, chunk));
    }

    /// Returns the claims that changed since the last call.
    pub(super) fn take_dirty(&mut self) -> Vec<(Hash128, Claim)> {
        let dirty = std::mem::take(&mut self.dirty);
        let mut changed: Vec<_> = dirty
            .into_iter()
            .filter_map(|key| Some((key, self.full.get(&key)?.clone())))
            .collect();
        changed.sort_unstable_by_key(|(key, _)| *key);
        changed
    }

    /// Returns whether the response bodies exceed their memory limit.
    pub(super) fn exceeds_body_limit(&self) -> bool {
        self.body_bytes > BODY_BYTES_MAX
    }

    /// Returns records that rebuild all claims held in full.
    pub(super) fn records(&self) -> Vec<Record> {
        let mut entries: Vec<_> = self.full.iter().collect();
        entries.sort_unstable_by_key(|(key, _)| **key);
        entries
            .into_iter()
            .flat_map(|(key, claim)| claim.records(*key))
            .collect()
    }

    /// Evicts claims that chunks also contain, when they are old or their bodies exceed the memory
    /// limit.
    pub(super) fn evict(&mut self, now_ms: u64) {
        let mut candidates: Vec<(u64, Hash128)> = self
            .full
            .iter()
            .filter(|(key, _)| !self.dirty.contains(*key))
            .map(|(key, claim)| (claim.at_ms, *key))
            .collect();
        candidates.sort_unstable();
        for (at_ms, key) in candidates {
            if at_ms + FULL_RETENTION_MS > now_ms && !self.exceeds_body_limit() {
                return;
            }
            if let Some(claim) = self.full.remove(&key) {
                self.body_bytes -= claim.body_bytes();
            }
        }
    }

    /// Removes the chunks whose claims have all expired; returns the number of the first one left.
    pub(super) fn expire_chunks(&mut self, next: u64, now_ms: u64) -> u64 {
        let is_live = |index: &ChunkIndex| index.newest_ms + LIFETIME_MS > now_ms;
        while self.chunks.first().is_some_and(|index| !is_live(index)) {
            self.chunks.remove(0);
        }
        self.chunks.first().map_or(next, |index| index.number)
    }

    /// Indexes a chunk whose claims are held in full already.
    pub(super) fn push_index(&mut self, number: u64, chunk: &Chunk) {
        self.chunks.push(ChunkIndex::of(number, chunk));
    }

    /// Sets the outcome of a claim if `attempt` holds it and its outcome can still change.
    fn set_outcome(&mut self, key: Hash128, attempt: Hash128, outcome: Outcome) {
        let Some(held) = self.full.get(&key) else {
            return;
        };
        // Done and released are final.
        let is_open = matches!(held.outcome, Outcome::Pending | Outcome::Unknown);
        if held.attempt != attempt || !is_open {
            return;
        }
        let claim = Claim {
            outcome,
            ..held.clone()
        };
        self.put(key, claim);
        self.dirty.insert(key);
    }

    fn put(&mut self, key: Hash128, claim: Claim) {
        self.body_bytes += claim.body_bytes();
        if let Some(before) = self.full.insert(key, claim) {
            self.body_bytes -= before.body_bytes();
        }
    }
}

impl Claim {
    /// Returns whether the claim has not expired.
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        self.at_ms + LIFETIME_MS > now_ms
    }

    pub(super) fn body_bytes(&self) -> usize {
        match &self.outcome {
            Outcome::Done(recorded) => recorded.body.len(),
            Outcome::Pending | Outcome::Unknown | Outcome::Released => 0,
        }
    }

    fn records(&self, key: Hash128) -> Vec<Record> {
        let attempt = self.attempt;
        let claimed = Record::Claimed {
            key,
            digest: self.digest,
            claimant: self.claimant.clone(),
            incarnation: self.incarnation,
            attempt,
            at_ms: self.at_ms,
        };
        let settled = match &self.outcome {
            Outcome::Pending => return vec![claimed],
            Outcome::Done(recorded) => Record::Done {
                key,
                attempt,
                recorded: recorded.clone(),
            },
            Outcome::Unknown => Record::Unknown { key, attempt },
            Outcome::Released => Record::Released { key, attempt },
        };
        vec![claimed, settled]
    }
}

impl ChunkIndex {
    fn of(number: u64, chunk: &Chunk) -> Self {
        let mut fingerprints: Vec<u64> = chunk
            .entries
            .iter()
            .map(|(key, _)| key.fingerprint())
            .collect();
        fingerprints.sort_unstable();
        let newest_ms = chunk.entries.iter().map(|(_, claim)| claim.at_ms).max();
        Self {
            number,
            newest_ms: newest_ms.unwrap_or_default(),
            fingerprints,
        }
    }
}
