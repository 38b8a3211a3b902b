use std::collections::HashMap;
use std::time::Duration;

use super::{Health, Part};
use crate::Instant;

/// Time for which a part that was read is expected to stay in the cache. The deployments price a
/// part that is read again within about 8 s; the caches hold more than the parts of 30 s.
const CACHED_FOR: Duration = Duration::from_secs(25);
/// Parts remembered for one engine; at about 50 bytes each they take 100 KB.
const PARTS_MAX: usize = 2_048;
/// Half-life of the delay that is seen in answers.
const DELAY_HALF_LIFE_MS: f64 = 800.0;
/// Weight of a new delay against the decayed ones.
const DELAY_STEP: f64 = 0.4;

/// How a piece of work at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// It was done in this time, in milliseconds.
    Done {
        /// Milliseconds from sending to the answer or its first event.
        millis: f64,
    },
    /// The endpoint refused it without running it.
    Rejected,
    /// The endpoint could not be reached.
    Unreachable,
    /// It failed or its answer was lost.
    Failed,
    /// The caller left or its time ended.
    Abandoned,
}

/// What this daemon knows of one engine's load.
#[derive(Debug, Default)]
pub(crate) struct EngineLoad {
    /// Work of this daemon that waits for its first event, in ms of prefill.
    pub(crate) prefill_ms: f64,
    /// Sequences of this daemon.
    pub(crate) sequences: u32,
    pub(crate) health: Health,
    delay_ms: f64,
    delay_at: Instant,
    parts: HashMap<u64, Instant>,
}

impl EngineLoad {
    /// Returns the delay beyond the own work that answers have shown lately.
    pub(crate) fn delay_ms(&self, now: Instant) -> f64 {
        let age_ms = now.since(self.delay_at).as_secs_f64() * 1e3;
        self.delay_ms * 0.5_f64.powf(age_ms / DELAY_HALF_LIFE_MS)
    }

    /// Takes in how much longer an answer took than its own work explains.
    pub(crate) fn observe_delay(&mut self, excess_ms: f64, now: Instant) {
        let old = self.delay_ms(now);
        self.delay_ms = old + (excess_ms.max(0.0) - old) * DELAY_STEP;
        self.delay_at = now;
    }

    /// Returns how many tokens at the beginning of the prompt are expected in the cache.
    pub(crate) fn cached_tokens(&self, parts: &[Part], now: Instant) -> u32 {
        parts
            .iter()
            .take_while(|part| {
                self.parts
                    .get(&part.id)
                    .is_some_and(|used| now.since(*used) < CACHED_FOR)
            })
            .map(|part| part.tokens)
            .sum()
    }

    /// Notes that the engine reads these parts.
    pub(crate) fn note_parts(&mut self, parts: &[Part], now: Instant) {
        if self.parts.len() >= PARTS_MAX {
            self.parts
                .retain(|_, used| now.since(*used) < CACHED_FOR / 2);
        }
        for part in parts {
            self.parts.insert(part.id, now);
        }
    }

    /// Forgets what the engine held before a restart.
    pub(crate) fn restarted(&mut self) {
        self.parts.clear();
        self.delay_ms = 0.0;
        self.health = Health::default();
    }
}
