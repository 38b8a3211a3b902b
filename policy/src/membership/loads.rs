use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::engine::Load;
use ragwortgrade_schema::{Digest, Row};
use xxhash_rust::xxh3::xxh3_64;

use crate::Instant;

/// Unit of the ages in a digest.
const AGE_UNIT: Duration = Duration::from_millis(100);
/// Age above which rows are not forwarded, since routing hardly weighs them any more.
const FORWARD_AGE_MAX: Duration = Duration::from_secs(5);
/// Rows of this data centre that one round sends to two daemons, about 3 KB/s sent and received.
/// Larger data centres send theirs every second, third, ... round.
const ROWS_PER_ROUND: usize = 50;
/// Rows that one round sends to another data centre on average, about 2 KB/s sent and received.
const REMOTE_ROWS_PER_ROUND: usize = 50;
/// Unit of KV cache memory in a digest, in tokens.
const KV_PIECE_TOKENS: u64 = 2_048;
/// Unit of the queued prompt tokens in a digest.
const QUEUED_UNIT_TOKENS: u64 = 1_000;
const MICROS_PER_MS: u64 = 1_000;

/// Latest load of each engine, from local observation and gossip.
#[derive(Debug, Default)]
pub struct Loads {
    observations: HashMap<u32, LoadObservation>,
}

/// Load of an engine at a time on this daemon's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadObservation {
    /// The load, with an age of 0 at `observed`.
    pub row: Row,
    /// Time at which the engine was in this state.
    pub observed: Instant,
    /// Whether a daemon of this data centre read the load from the engine, which is in this data
    /// centre or in one from which no gossip arrives.
    pub is_local: bool,
}

impl Loads {
    /// Returns the 32-bit hash that identifies an engine in a digest.
    #[must_use]
    pub fn engine_hash(engine: &str) -> u32 {
        (xxh3_64(engine.as_bytes()) >> 32) as u32
    }

    /// Returns a checksum of the rarely changing fields of a load report.
    #[must_use]
    pub fn description_checksum(load: &Load) -> u8 {
        let mut text = format!("{}", load.incarnation);
        for version in load.models.iter().chain(&load.adapters) {
            text.push('\n');
            text.push_str(&version.name);
            text.push('\t');
            text.push_str(&version.version);
        }
        (xxh3_64(text.as_bytes()) >> 56) as u8
    }

    /// Records a report that this daemon read from an engine.
    pub fn observe(&mut self, load: &Load, observed: Instant) {
        let row = Row {
            engine: Self::engine_hash(&load.engine),
            age: 0,
            role: load.role,
            draining: load.draining,
            changing: load.changing,
            sequences: saturate(u64::from(load.sequences)),
            queued_prefill_thousands: saturate(
                load.queued_prefill_tokens.div_ceil(QUEUED_UNIT_TOKENS),
            ),
            kv_pieces: saturate(load.kv_tokens.div_ceil(KV_PIECE_TOKENS)),
            description_checksum: Self::description_checksum(load),
        };
        self.put(LoadObservation {
            row,
            observed,
            is_local: true,
        });
    }

    /// Merges a digest received at `now` and returns the rows that were newer than the known ones.
    pub fn merge(&mut self, digest: &Digest, is_local: bool, now: Instant) -> Vec<LoadObservation> {
        let mut newer = Vec::new();
        for row in &digest.rows {
            let observed = now - AGE_UNIT * u32::from(row.age);
            let observation = LoadObservation {
                row: Row { age: 0, ..*row },
                observed,
                is_local,
            };
            if self.put(observation) {
                newer.push(observation);
            }
        }
        newer
    }

    /// Returns the rows to forward at `now`: those that daemons of this data centre read.
    ///
    /// Rows from daemons of other data centres are not forwarded: each daemon receives them
    /// directly.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Digest {
        let mut rows: Vec<Row> = self
            .local()
            .filter(|observation| now.since(observation.observed) <= FORWARD_AGE_MAX)
            .map(|observation| Row {
                age: age_of(observation.observed, now),
                ..observation.row
            })
            .collect();
        rows.sort_by_key(|row| row.engine);
        Digest {
            at_ms: now.as_micros() / MICROS_PER_MS,
            rows,
        }
    }

    /// Returns the rows of draining engines, which may be sent in messages of unbounded delay.
    ///
    /// The rows of a message that a cut link delivers seconds late look recent. Only a row that
    /// prevents new work is harmless then.
    #[must_use]
    pub fn draining(&self, now: Instant) -> Digest {
        let mut digest = self.digest(now);
        digest.rows.retain(|row| row.draining);
        digest
    }

    /// Returns whether the digest is sent in this round. This bounds control traffic in a data
    /// centre of any size.
    #[must_use]
    pub fn is_digest_due(&self, round: u64) -> bool {
        let period = self.local().count().div_ceil(ROWS_PER_ROUND).max(1);
        round.is_multiple_of(period as u64)
    }

    /// Returns the probability with which a round also contacts another data centre.
    #[must_use]
    pub fn remote_probability(&self) -> f64 {
        REMOTE_ROWS_PER_ROUND as f64 / self.local().count().max(1) as f64
    }

    fn local(&self) -> impl Iterator<Item = &LoadObservation> {
        self.observations
            .values()
            .filter(|observation| observation.is_local)
    }

    /// Returns the latest load of an engine.
    #[must_use]
    pub fn get(&self, engine: &str) -> Option<LoadObservation> {
        self.observations.get(&Self::engine_hash(engine)).copied()
    }

    /// Removes an engine.
    pub fn remove(&mut self, engine: &str) {
        self.observations.remove(&Self::engine_hash(engine));
    }

    /// Stores an observation if it is newer than the known one by more than the age rounding of 100
    /// ms, so that a forwarded copy of the same row doesn't count as newer.
    fn put(&mut self, observation: LoadObservation) -> bool {
        let known = self.observations.get(&observation.row.engine);
        let is_newer = known.is_none_or(|known| observation.observed > known.observed + AGE_UNIT);
        if is_newer {
            self.observations
                .insert(observation.row.engine, observation);
        }
        is_newer
    }
}

fn age_of(observed: Instant, now: Instant) -> u16 {
    saturate((now.since(observed).as_millis() / AGE_UNIT.as_millis()) as u64)
}

fn saturate(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
