use std::collections::VecDeque;
use std::time::Duration;

use crate::Instant;

/// Number of samples whose median the estimate follows. Four false ones do not move it.
const SAMPLES_MAX: usize = 9;
/// Age at which a sample expires: a fleet observes several of an engine meanwhile, a daemon alone
/// two or three.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(30);
/// Largest change of the logarithm of the factor for one sample: 30%. Engines that differ by a
/// factor of 2.4 are told apart after four samples.
const STEP_MAX: f64 = 0.262_364;

/// Estimate of one factor of an engine: a running median that moves by bounded steps.
#[derive(Debug, Default)]
pub(super) struct SpeedEstimate {
    /// Latest samples with their times, as logarithms.
    samples: VecDeque<(Instant, f64)>,
    log_factor: f64,
}

impl SpeedEstimate {
    /// Records a sample. The estimate starts at `prior` if there is no recent sample.
    pub(super) fn observe(&mut self, log_ratio: f64, prior: f64, now: Instant) {
        while let Some((at, _)) = self.samples.front()
            && (self.samples.len() >= SAMPLES_MAX || now.since(*at) >= SAMPLE_AGE_MAX)
        {
            self.samples.pop_front();
        }
        if self.samples.is_empty() {
            self.log_factor = prior;
        }
        self.samples.push_back((now, log_ratio));
        let mut sorted = [0.0; SAMPLES_MAX];
        let sorted = &mut sorted[..self.samples.len()];
        for (slot, (_, sample)) in sorted.iter_mut().zip(&self.samples) {
            *slot = *sample;
        }
        sorted.sort_unstable_by(f64::total_cmp);
        let median = sorted[sorted.len() / 2];
        self.log_factor += (median - self.log_factor).clamp(-STEP_MAX, STEP_MAX);
    }

    /// Returns the logarithm of the factor, or `None` without a recent sample.
    pub(super) fn log_factor(&self, now: Instant) -> Option<f64> {
        let (last_at, _) = self.samples.back()?;
        (now.since(*last_at) < SAMPLE_AGE_MAX).then_some(self.log_factor)
    }
}
