//! Observations of the engines' speeds.

use ragwortgrade_schema::Name;

use super::super::engine_speeds::{ObservedPrefill, SpeedKind, SpeedSample};
use super::super::{Placement, Prompt};
use super::Engines;
use super::costs::UNRESERVED_PREFILL_FRACTION;
use crate::Instant;

/// Shortest output from which an engine's speed is estimated: eight events of ten tokens.
const OUTPUT_TOKENS_MIN: u32 = 80;
/// Shortest prefill at the configured speed from which an engine's speed is estimated, in ms: half of
/// the fixed part of a call, whose time varies by a fraction of that.
const PREFILL_SAMPLE_MIN_MS: f64 = 30.0;
/// Longest wait for known work, as a fraction of the prefill, of a sample. Beyond it the error of the
/// estimated wait matters as much as the speed.
const SAMPLE_WAIT_FRACTION_MAX: f64 = 0.25;

impl Engines {
    /// Updates the latency model with the time from a placement to its first event, in ms.
    pub fn observe_first_event(&mut self, placement: &Placement, took_ms: f64) {
        self.latencies.observe(placement, took_ms);
    }

    /// Updates an engine's decode speed with a sequence that produced `tokens` in `millis` after its
    /// first event.
    pub fn observe_output(&mut self, id: &Name, tokens: u32, millis: f64, now: Instant) {
        if tokens < OUTPUT_TOKENS_MIN {
            return;
        }
        let sequences = self.total_work(id, now).sequences;
        let expected_ms =
            self.speed.step_ms(sequences, UNRESERVED_PREFILL_FRACTION) * f64::from(tokens);
        let ratio = millis / expected_ms;
        if let Some(load) = self.loads.get_mut(id) {
            load.observe_slowness(ratio);
        }
        let sample = SpeedSample {
            engine: id.clone(),
            kind: SpeedKind::Decode,
            ratio,
        };
        self.speeds.observe(&sample, now);
    }

    /// Records the length of a complete output of a route, in tokens, and the caller's hint.
    pub fn observe_output_length(&mut self, route: &Name, hint: Option<u32>, tokens: u32) {
        self.output_lengths.observe(route, hint, tokens);
    }

    /// Returns the engine time of a prefill at the configured speed, in ms, of which the first
    /// `cached_tokens` are in the cache.
    #[must_use]
    pub fn configured_prefill_ms(
        &self,
        prompt: &Prompt,
        cached_tokens: u32,
        is_local_prefill: bool,
    ) -> f64 {
        self.speed
            .prefill_ms(prompt.tokens, cached_tokens, is_local_prefill)
    }

    /// Updates an engine's prefill speed with a remote prefill on it.
    ///
    /// Local prefills are no samples: they may wait for a slot and share the engine with outputs, and
    /// the median of the fleet would mix both kinds.
    pub fn observe_prefill(&mut self, id: &Name, prefill: &ObservedPrefill, now: Instant) {
        let configured_ms = prefill.configured_ms;
        let wait_max_ms = configured_ms.max(PREFILL_SAMPLE_MIN_MS) * SAMPLE_WAIT_FRACTION_MAX;
        if prefill.is_local || prefill.wait_ms > wait_max_ms {
            return;
        }
        let call_ms = prefill.millis - prefill.wait_ms;
        let engine_ms = self
            .speeds
            .observe_call(configured_ms, call_ms, prefill.overhead_ms);
        if configured_ms < PREFILL_SAMPLE_MIN_MS {
            return;
        }
        let sample = SpeedSample {
            engine: id.clone(),
            kind: SpeedKind::Prefill,
            ratio: engine_ms / configured_ms,
        };
        self.speeds.observe(&sample, now);
    }

    /// Records speeds that another daemon observed.
    pub fn record_peer_speeds(&mut self, samples: &[SpeedSample], now: Instant) {
        for sample in samples {
            self.speeds.record(sample, now);
        }
    }

    /// Takes observed speeds for the daemons that receive all work.
    pub fn take_unsent_speeds_local(&mut self) -> Vec<SpeedSample> {
        self.speeds.take_unsent_local()
    }

    /// Takes observed speeds for other data centres.
    pub fn take_unsent_speeds_remote(&mut self) -> Vec<SpeedSample> {
        self.speeds.take_unsent_remote()
    }
}
