use std::time::Duration;

use super::{Placement, Speed};

/// Initial estimate of the overhead that a remote prefill has in addition to that of a local one,
/// in ms: the set-up of the KV cache transfer, another network round trip and a step of the decode
/// engine.
const REMOTE_PREFILL_OVERHEAD_MS: f64 = 15.0;
/// Longest queue of a placement that is used as a sample, so that other requests hardly affect it.
const SAMPLE_QUEUE_MAX: Duration = Duration::from_millis(5);
/// Prefills longer than this update the factor; those shorter than `PREFILL_SHORT_MS` update the
/// overhead.
const PREFILL_LONG_MS: f64 = 30.0;
const PREFILL_SHORT_MS: f64 = 15.0;
/// Quantile of the samples that the estimates follow. It is below the median because samples
/// include waiting for requests that were sent at the same time.
const QUANTILE: f64 = 0.4;
/// Steps of the overhead, in ms, and of the factor for one sample. A few dozen samples move an
/// estimate by as much as engines differ.
const OVERHEAD_STEP_MS: f64 = 1.0;
const FACTOR_STEP: f64 = 0.02;
/// Bounds of the factor. Engines of other kinds differ less from the configured speeds.
const FACTOR_MIN: f64 = 0.25;
const FACTOR_MAX: f64 = 8.0;

/// Estimates the time to the first event from placements on engines without other work.
///
/// Both figures are quantiles that are tracked by stochastic approximation (H. Robbins and S.
/// Monro, "A Stochastic Approximation Method", 1951).
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyModel {
    /// Time to the first event apart from the prefill, in ms.
    pub(super) overhead_ms: f64,
    /// Ratio of the actual prefill time to that of the configured speeds.
    pub(super) factor: f64,
}

impl LatencyModel {
    /// Creates a model with an initial overhead, in ms.
    pub(super) const fn new(overhead_ms: f64) -> Self {
        Self {
            overhead_ms,
            factor: 1.0,
        }
    }

    /// Updates the model with the time from a placement to its first event, in ms.
    fn observe(&mut self, placement: &Placement, took_ms: f64) {
        if placement.queue > SAMPLE_QUEUE_MAX {
            return;
        }
        let prefill_ms = placement.prefill_ms;
        if prefill_ms < PREFILL_SHORT_MS {
            let step = quantile_step(took_ms > self.overhead_ms + prefill_ms);
            self.overhead_ms = (self.overhead_ms + step * OVERHEAD_STEP_MS).max(0.0);
        } else if prefill_ms > PREFILL_LONG_MS {
            let step = quantile_step(took_ms > self.overhead_ms + prefill_ms);
            let factor = self.factor * (1.0 + step * FACTOR_STEP);
            self.factor = factor.clamp(FACTOR_MIN, FACTOR_MAX);
        }
    }
}

/// Returns the signed step of a quantile estimate after a sample.
const fn quantile_step(is_above: bool) -> f64 {
    if is_above { QUANTILE } else { QUANTILE - 1.0 }
}

/// Latency models of local and remote prefill.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyModels {
    pub(super) local_prefill: LatencyModel,
    pub(super) remote_prefill: LatencyModel,
}

impl LatencyModels {
    /// Creates the models from the configured speeds.
    pub(super) fn new(speed: &Speed) -> Self {
        let first_event_ms = speed.first_event.as_secs_f64() * 1e3;
        Self {
            local_prefill: LatencyModel::new(first_event_ms),
            remote_prefill: LatencyModel::new(first_event_ms + REMOTE_PREFILL_OVERHEAD_MS),
        }
    }

    /// Returns the model of local or of remote prefill.
    pub(super) const fn for_prefill(&self, is_local_prefill: bool) -> LatencyModel {
        if is_local_prefill {
            self.local_prefill
        } else {
            self.remote_prefill
        }
    }

    /// Updates the model of the placement's kind of prefill with the time to its first event, in
    /// ms.
    pub(super) fn observe(&mut self, placement: &Placement, took_ms: f64) {
        let model = match placement.prefill {
            Some(_) => &mut self.remote_prefill,
            None => &mut self.local_prefill,
        };
        model.observe(placement, took_ms);
    }
}
