use std::collections::HashMap;
use std::time::Duration;

use super::peer_loads::priority_index;
use super::{EngineWork, Health, PRIORITY_LEVELS, Part};
use crate::Instant;

/// Time for which a prefilled part is expected to stay in the cache. Deployments charge for
/// prefilling a part again within about 8 s, and the caches hold more than the parts of 30 s.
const CACHE_RETENTION: Duration = Duration::from_secs(25);
/// Number of parts recorded per engine from which those not used lately are removed; at about 50
/// bytes each they take 100 KB.
const PARTS_MAX: usize = 2_048;
/// Half-life of observed delays.
const DELAY_HALF_LIFE_MS: f64 = 800.0;
/// Weight of a new delay against the decayed earlier ones.
const DELAY_WEIGHT: f64 = 0.4;
/// Smallest delay recorded for a rejected prefill, in ms. A rejection arrives at once, so the time
/// it took says nothing about the wait at the engine.
pub(super) const REJECTION_DELAY_MIN_MS: f64 = 300.0;

/// Longest overdue time that counts for one prompt: longer than any permitted queue.
const OVERDUE_MAX_MS: f64 = 2_000.0;
/// Multiple of the expected time after which a prefill is overdue. Up to that, more urgent prompts
/// that arrived later can explain the delay.
const OVERDUE_RATIO: f64 = 2.0;

/// Multiple of the expected time within which most prefills end, and its minimum in ms.
const LIKELY_RATIO: f64 = 1.5;
const LIKELY_MIN_MS: f64 = 40.0;

/// Weight of one output in the moving average of the slowness; about seven outputs dominate it.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Bounds of the slowness that one output can show. Engines that degrade are up to 8 times slower.
const SLOWNESS_MIN: f64 = 0.5;
const SLOWNESS_MAX: f64 = 8.0;

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The call succeeded.
    Done {
        /// Milliseconds from sending the request to the response or its first event; not used at
        /// the end of a sequence.
        millis: f64,
    },
    /// The endpoint rejected the call without running it.
    Rejected,
    /// The endpoint could not be reached.
    Unreachable,
    /// The call failed or its response was lost.
    Failed,
    /// The caller left or its deadline passed.
    Abandoned,
}

/// This daemon's knowledge of the load of one engine.
#[derive(Debug, Default)]
pub(crate) struct EngineLoad {
    /// Sequences that this daemon runs on the engine.
    pub(crate) sequences: u32,
    /// Prompts of this daemon that are queued or being prefilled.
    prefills: Vec<PendingPrefill>,
    pub(crate) health: Health,
    /// Delays by priority.
    delays: [Delay; PRIORITY_LEVELS],
    slowness: Slowness,
    /// Latest use of each cached part, by its identity.
    parts: HashMap<u64, Instant>,
}

/// A prompt that is queued or being prefilled.
#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    /// Priority at the engine; 0 is the most urgent.
    priority: u8,
    /// Expected engine time, in ms.
    prefill_ms: f64,
    sent_at: Instant,
    /// Expected time until the prefill ends, in ms.
    expected_ms: f64,
    /// Time from which the prefill is overdue.
    due: Instant,
}

impl PendingPrefill {
    /// Returns the remaining engine time of the prefill, in ms. Overdue time is added, since it
    /// shows that the engine is stalled or has work that no daemon reported.
    fn work_ms(&self, now: Instant) -> f64 {
        let overdue_ms = now.since(self.due).as_secs_f64() * 1e3;
        self.prefill_ms + overdue_ms.min(OVERDUE_MAX_MS)
    }

    /// Returns the time within which the prefill is likely to end, in ms. It doubles when that time
    /// is over.
    fn left_ms(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.sent_at).as_secs_f64() * 1e3;
        let mut total_ms = (self.expected_ms * LIKELY_RATIO).max(LIKELY_MIN_MS);
        while total_ms <= elapsed {
            total_ms *= 2.0;
        }
        total_ms - elapsed
    }
}

/// Factor by which this daemon's own outputs show an engine to be slower than the configured speeds,
/// because of its speed or of load that is not known.
#[derive(Clone, Copy, Debug)]
struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Self {
        Self(1.0)
    }
}

/// Observed delay that the known work does not explain.
#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    millis: f64,
    at: Instant,
}

impl EngineLoad {
    /// Records a prompt that was sent and is expected to be prefilled after `expected_ms`.
    pub(crate) fn begin_prefill(
        &mut self,
        priority: u8,
        prefill_ms: f64,
        expected_ms: f64,
        now: Instant,
    ) {
        let due = now + Duration::from_secs_f64(expected_ms * OVERDUE_RATIO / 1e3);
        self.prefills.push(PendingPrefill {
            priority,
            prefill_ms,
            sent_at: now,
            expected_ms,
            due,
        });
    }

    /// Removes a prompt that was recorded with the same priority and engine time.
    pub(crate) fn end_prefill(&mut self, priority: u8, prefill_ms: f64) {
        let is_same = |it: &PendingPrefill| {
            it.priority == priority && it.prefill_ms.total_cmp(&prefill_ms).is_eq()
        };
        if let Some(index) = self.prefills.iter().position(is_same) {
            self.prefills.swap_remove(index);
        }
    }

    /// Returns the work of this daemon on the engine.
    pub(crate) fn own_work(&self, now: Instant) -> EngineWork {
        let mut work = EngineWork {
            sequences: self.sequences,
            ..EngineWork::default()
        };
        for prefill in &self.prefills {
            let priority_index = priority_index(prefill.priority);
            let work_ms = prefill.work_ms(now);
            work.prefill_ms[priority_index] += work_ms;
            work.longest_ms[priority_index] = work.longest_ms[priority_index].max(work_ms);
            let left_ms = prefill.left_ms(now);
            work.busy_ms = Some(work.busy_ms.unwrap_or_default().max(left_ms));
        }
        work
    }

    /// Returns the factor by which the engine is slower than the configured speeds.
    pub(crate) const fn slowness(&self) -> f64 {
        self.slowness.0
    }

    /// Updates the slowness with the ratio of actual to expected time of one output.
    pub(crate) fn observe_slowness(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.slowness.0 += (ratio - self.slowness.0) * SLOWNESS_WEIGHT;
    }

    /// Returns the recent delay of requests with this priority that the known work does not
    /// explain, in ms.
    pub(crate) fn delay_ms(&self, priority: u8, now: Instant) -> f64 {
        let delay = self.delays[priority_index(priority)];
        let age_ms = now.since(delay.at).as_secs_f64() * 1e3;
        delay.millis * 0.5_f64.powf(age_ms / DELAY_HALF_LIFE_MS)
    }

    /// Updates the delay with the time that a response took beyond what the known work explains.
    pub(crate) fn observe_delay(&mut self, priority: u8, excess_ms: f64, now: Instant) {
        let old = self.delay_ms(priority, now);
        self.delays[priority_index(priority)] = Delay {
            millis: old + (excess_ms.max(0.0) - old) * DELAY_WEIGHT,
            at: now,
        };
    }

    /// Returns how many tokens at the start of the prompt are expected in the cache.
    ///
    /// An engine that holds a long part also holds the parts before it. Other data centres report
    /// only the long ones.
    pub(crate) fn cached_tokens(&self, parts: &[Part], now: Instant) -> u32 {
        let is_cached = |part: &Part| {
            let last_used = self.parts.get(&part.id);
            last_used.is_some_and(|last_used| now.since(*last_used) < CACHE_RETENTION)
        };
        let last_long = parts
            .iter()
            .rposition(|part| part.is_long() && is_cached(part));
        let leading_count = parts.iter().take_while(|part| is_cached(part)).count();
        let count = leading_count.max(last_long.map_or(0, |index| index + 1));
        parts[..count].iter().map(|part| part.tokens).sum()
    }

    /// Records that the engine prefills these parts.
    pub(crate) fn record_parts(&mut self, parts: impl IntoIterator<Item = u64>, now: Instant) {
        // Makes room by removing the parts that were not used for half of the retention time.
        if self.parts.len() >= PARTS_MAX {
            self.parts
                .retain(|_, last_used| now.since(*last_used) < CACHE_RETENTION / 2);
        }
        for part in parts {
            self.parts.insert(part, now);
        }
    }

    /// Removes the state that a restart of the engine invalidates.
    pub(crate) fn reset(&mut self) {
        self.parts.clear();
        self.delays = [Delay::default(); PRIORITY_LEVELS];
        self.slowness = Slowness::default();
        self.health = Health::default();
    }
}
