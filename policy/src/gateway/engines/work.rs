//! Records of the work of this daemon on the engines.

use ragwortgrade_schema::Name;

use super::super::engine_load::{CallOutcome, REJECTION_DELAY_MIN_MS};
use super::super::{EngineWork, Prompt};
use super::Engines;
use crate::Instant;

impl Engines {
    /// Records that a prompt was sent to an engine for prefill with this priority; 0 is the most
    /// urgent. `expected_ms` is the time that it is expected to take with the known work.
    pub fn prefill_sent(
        &mut self,
        id: &Name,
        priority: u8,
        prefill_ms: f64,
        expected_ms: f64,
        prompt: &Prompt,
        now: Instant,
    ) {
        let load = self.loads.entry(id.clone()).or_default();
        load.begin_prefill(priority, prefill_ms, expected_ms, now);
        load.health.begin_trial(now);
        self.record_shared_parts(id, prompt, now);
    }

    /// Records the end of a prefill that was expected to take `expected_ms` with the known work.
    pub fn prefill_ended(
        &mut self,
        id: &Name,
        priority: u8,
        prefill_ms: f64,
        expected_ms: f64,
        outcome: CallOutcome,
        now: Instant,
    ) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.end_prefill(priority, prefill_ms);
        match outcome {
            CallOutcome::Done { millis } => {
                load.observe_delay(priority, millis - expected_ms, now);
                load.health.succeeded();
            }
            CallOutcome::Rejected => {
                load.observe_delay(priority, expected_ms.max(REJECTION_DELAY_MIN_MS), now);
            }
            CallOutcome::Unreachable => load.health.unreachable(now),
            CallOutcome::Failed => load.health.failed(now),
            CallOutcome::Abandoned => {}
        }
    }

    /// Returns the known work of all daemons on an engine.
    pub(super) fn total_work(&self, id: &Name, now: Instant) -> EngineWork {
        let mut work = self.peers.total(id, now);
        if let Some(load) = self.loads.get(id) {
            work.add(&load.own_work(now));
        }
        work
    }

    /// Returns how long the known work of all daemons delays a request on an engine, in ms.
    /// Priority 0 is the most urgent.
    #[must_use]
    pub fn known_wait_ms(&self, id: &Name, priority: u8, now: Instant) -> f64 {
        self.total_work(id, now).ahead_ms(priority)
    }

    /// Records that a sequence was sent to an engine.
    pub fn sequence_sent(&mut self, id: &Name, prompt: &Prompt, now: Instant) {
        let load = self.loads.entry(id.clone()).or_default();
        load.sequences += 1;
        load.health.begin_trial(now);
        self.record_shared_parts(id, prompt, now);
    }

    /// Records the end of a sequence.
    pub fn sequence_ended(&mut self, id: &Name, outcome: CallOutcome, now: Instant) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.sequences = load.sequences.saturating_sub(1);
        match outcome {
            CallOutcome::Done { .. } => load.health.succeeded(),
            CallOutcome::Unreachable => load.health.unreachable(now),
            CallOutcome::Failed => load.health.failed(now),
            CallOutcome::Rejected | CallOutcome::Abandoned => {}
        }
    }

    fn record_shared_parts(&mut self, id: &Name, prompt: &Prompt, now: Instant) {
        let shared = prompt.shared();
        let load = self.loads.entry(id.clone()).or_default();
        load.record_parts(shared.iter().map(|part| part.id), now);
        for part in shared {
            self.unsent_parts.record(id, part);
        }
    }
}
