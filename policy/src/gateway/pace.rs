use std::time::Duration;

use super::{Placement, Speed};

/// Time of a prefill apart beside its own time, in ms, until it is learned: the set-up of the
/// transfer, one more crossing and a step of the decode engine.
const APART_MS: f64 = 15.0;
/// Longest queue of a placement that shows how fast an engine is: other requests explain little.
const QUEUE_MAX: Duration = Duration::from_millis(5);
/// Shortest reading that shows the factor, and longest one that shows the fixed time, in ms.
const READING_LONG_MS: f64 = 30.0;
const READING_SHORT_MS: f64 = 15.0;
/// Part of the samples that are below the estimate: samples hold the wait for requests that were
/// sent at the same time, so the lower ones are closer to the engine's own time.
const QUANTILE: f64 = 0.4;
/// Step of the fixed time for one sample, in ms, and of the factor: a few dozen samples move an
/// estimate by as much as engines differ.
const OVERHEAD_STEP_MS: f64 = 1.0;
const FACTOR_STEP: f64 = 0.02;
/// Bounds of the factor: engines of other kinds differ by less from the ones of the sheets.
const FACTOR_MIN: f64 = 0.25;
const FACTOR_MAX: f64 = 8.0;

/// How long engines take to the first event, learned from those that had no other work.
///
/// Both figures are quantiles that are followed by stochastic approximation (H. Robbins and S. Monro,
/// "A Stochastic Approximation Method", 1951).
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Time beside the reading of the prompt, in ms.
    pub(super) overhead_ms: f64,
    /// Time of the reading against what the speeds of the deployment say.
    pub(super) factor: f64,
}

impl Pace {
    /// Starts from the time beside the reading, in ms.
    pub(super) const fn new(overhead_ms: f64) -> Self {
        Self {
            overhead_ms,
            factor: 1.0,
        }
    }

    /// Takes in the time from a placement to its first event.
    fn observe(&mut self, placement: &Placement, took_ms: f64) {
        if placement.queue > QUEUE_MAX {
            return;
        }
        let reading_ms = placement.prefill_ms;
        if reading_ms < READING_SHORT_MS {
            let step = step(took_ms > self.overhead_ms + reading_ms);
            self.overhead_ms = (self.overhead_ms + step * OVERHEAD_STEP_MS).max(0.0);
        } else if reading_ms > READING_LONG_MS {
            let step = step(took_ms > self.overhead_ms + reading_ms);
            let factor = self.factor * (1.0 + step * FACTOR_STEP);
            self.factor = factor.clamp(FACTOR_MIN, FACTOR_MAX);
        }
    }
}

/// Returns the direction and size of a step after a sample.
const fn step(is_above: bool) -> f64 {
    if is_above { QUANTILE } else { QUANTILE - 1.0 }
}

/// The pace of both ways to read a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Paces {
    pub(super) in_place: Pace,
    pub(super) apart: Pace,
}

impl Paces {
    /// Starts from the speeds of the deployment.
    pub(super) fn new(speed: &Speed) -> Self {
        let first_ms = speed.first_event.as_secs_f64() * 1e3;
        Self {
            in_place: Pace::new(first_ms),
            apart: Pace::new(first_ms + APART_MS),
        }
    }

    /// Returns the pace of a way to read a prompt.
    pub(super) const fn of(&self, is_in_place: bool) -> Pace {
        if is_in_place {
            self.in_place
        } else {
            self.apart
        }
    }

    /// Takes in the time from a placement to its first event.
    pub(super) fn observe(&mut self, placement: &Placement, took_ms: f64) {
        let pace = match placement.prefill {
            Some(_) => &mut self.apart,
            None => &mut self.in_place,
        };
        pace.observe(placement, took_ms);
    }
}
