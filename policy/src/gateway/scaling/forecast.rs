use std::collections::VecDeque;
use std::time::Duration;

use super::Need;
use crate::Instant;

/// Time for which a peak of the demand counts. Demand alternates in waves of up to 11 s and bursts
/// of up to 14 s, so that the window holds several of each.
const PEAK_TIME: Duration = Duration::from_mins(1);
/// Number of samples, one a second, from which they cover the window so far that the capacity may
/// shrink.
const SAMPLES_MIN: usize = 55;
/// Number of samples that are kept; more than one a second are not needed.
const SAMPLES_MAX: usize = 90;
/// Margin over the peak: averages over seconds hide the load of shorter times.
const MARGIN: f64 = 1.15;
/// Fraction of the capacity below which the expected demand has to stay before the capacity shrinks.
const SHRINK_FRACTION: f64 = 0.85;
/// Time for which it has to stay below.
const SHRINK_DELAY: Duration = Duration::from_secs(10);
/// Smallest fraction of the capacity that one step leaves.
const STEP_FRACTION: f64 = 0.9;
/// Fraction of the requests that are refused from which the capacity grows although the estimate
/// is lower.
const REFUSED_SHARE: f64 = 0.02;
/// Growth in that case, and its bound as a multiple of the estimate.
const REFUSED_GROWTH: f64 = 1.15;
const REFUSED_GROWTH_MAX: f64 = 2.0;
/// Time between two steps of that growth: a boot and the time until refusals show its effect.
const REFUSED_INTERVAL: Duration = Duration::from_secs(8);

/// Expected demand of a service: grows at once and shrinks slowly.
#[derive(Debug)]
pub(super) struct Forecast {
    need: Need,
    samples: VecDeque<(Instant, Need)>,
    below_since: Option<Instant>,
    refused_at: Option<Instant>,
}

impl Forecast {
    /// Starts with the capacity that is there.
    pub(super) const fn new(capacity: Need) -> Self {
        Self {
            need: capacity,
            samples: VecDeque::new(),
            below_since: None,
            refused_at: None,
        }
    }

    pub(super) const fn need(&self) -> Need {
        self.need
    }

    /// Returns whether there was any demand in the window.
    pub(super) fn has_demand(&self) -> bool {
        !self.samples.is_empty()
    }

    /// Records that the demand is not known now.
    pub(super) const fn interrupt(&mut self) {
        self.below_since = None;
    }

    /// Records the measured demand of all daemons and the share of requests that were refused.
    pub(super) fn observe(&mut self, measured: Need, refused_share: f64, now: Instant) {
        self.samples.retain(|(at, _)| now.since(*at) <= PEAK_TIME);
        let is_idle = measured.prefill <= 0.0 && measured.decode <= 0.0;
        if is_idle && self.samples.is_empty() {
            return;
        }
        if self.samples.len() >= SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back((now, measured));
        let peak = self.samples.iter().map(|(_, need)| *need);
        let peak = peak.fold(Need::default(), |peak, need| peak.zip(need, f64::max));
        let wanted = peak.scaled(MARGIN);
        let is_under_pressure = refused_share > REFUSED_SHARE;
        let may_grow = |at: Instant| now.since(at) >= REFUSED_INTERVAL;
        if is_under_pressure && self.refused_at.is_none_or(may_grow) {
            self.refused_at = Some(now);
            let bound = wanted.scaled(REFUSED_GROWTH_MAX);
            let grown = self.need.scaled(REFUSED_GROWTH).zip(bound, f64::min);
            self.need = self.need.zip(grown, f64::max);
        }
        // Rises within the margin don't change the orders.
        let grown = self.need.zip(
            peak,
            |need, peak| {
                if peak > need { peak * MARGIN } else { need }
            },
        );
        if grown != self.need {
            self.need = grown;
            self.below_since = None;
        }
        self.shrink(wanted, is_under_pressure, now);
    }

    fn shrink(&mut self, wanted: Need, is_under_pressure: bool, now: Instant) {
        let is_below = wanted.prefill < self.need.prefill * SHRINK_FRACTION
            || wanted.decode < self.need.decode * SHRINK_FRACTION;
        if !is_below || is_under_pressure || self.samples.len() < SAMPLES_MIN {
            self.below_since = None;
            return;
        }
        let since = *self.below_since.get_or_insert(now);
        if now.since(since) < SHRINK_DELAY {
            return;
        }
        self.below_since = Some(now);
        let step = self.need.scaled(STEP_FRACTION);
        self.need = wanted.zip(step, f64::max).zip(self.need, f64::min);
    }
}
