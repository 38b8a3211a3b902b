/// Weight of one call in the moving averages; about 50 calls dominate them.
const WEIGHT: f64 = 0.02;
/// Number of calls from which the fit is used.
const CALLS_MIN: u32 = 30;
/// Smallest variance of the prefill times from which the fit is used, in square milliseconds: sizes
/// that differ by a few milliseconds say nothing about a call without a prefill.
const VARIANCE_MIN: f64 = 100.0;

/// Fixed part of the calls that prefill, from a linear fit of the times of the calls to those of
/// their prefills at the configured speed.
///
/// Without it, a fixed part that is shorter than assumed makes fast engines seem faster than they
/// are.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallOverhead {
    calls: u32,
    mean_prefill_ms: f64,
    mean_call_ms: f64,
    variance: f64,
    covariance: f64,
}

impl CallOverhead {
    /// Records a call of `call_ms`, apart from the wait, whose prefill takes `prefill_ms` at the
    /// configured speed.
    pub(super) fn observe(&mut self, prefill_ms: f64, call_ms: f64) {
        self.calls = self.calls.saturating_add(1);
        // The first calls are averaged evenly.
        let weight = WEIGHT.max(1.0 / f64::from(self.calls));
        let prefill_delta = prefill_ms - self.mean_prefill_ms;
        let call_delta = call_ms - self.mean_call_ms;
        self.mean_prefill_ms += weight * prefill_delta;
        self.mean_call_ms += weight * call_delta;
        let rest = (1.0 - weight) * weight;
        self.variance = (1.0 - weight) * self.variance + rest * prefill_delta * prefill_delta;
        self.covariance = (1.0 - weight) * self.covariance + rest * prefill_delta * call_delta;
    }

    /// Returns the fixed part of a call, in ms: at most `assumed_ms`, which counts until enough calls
    /// of different sizes were observed.
    pub(super) fn millis(&self, assumed_ms: f64) -> f64 {
        if self.calls < CALLS_MIN || self.variance < VARIANCE_MIN {
            return assumed_ms;
        }
        let slope = self.covariance / self.variance;
        let fixed_ms = self.mean_call_ms - slope * self.mean_prefill_ms;
        fixed_ms.clamp(0.0, assumed_ms)
    }
}
