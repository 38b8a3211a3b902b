//! Retry budget.

use std::time::Duration;

use crate::Instant;

/// Fraction of recent requests that may be retries, so that retries cannot double the load.
const RETRY_FRACTION: f64 = 0.1;
/// Retries per window that are permitted in any case, since a tenth of a few requests does not
/// cover the streams of one engine that fails. At 20 requests/s, a tenth is 20 retries per window;
/// the minimum takes effect below 10 requests/s.
const RETRIES_MIN: u32 = 10;
/// Number of intervals in the window.
const INTERVALS: usize = 10;
const INTERVAL_DURATION: Duration = Duration::from_secs(1);

/// Permits retries while they are few compared with the requests of the last 10 s.
#[derive(Debug)]
pub struct Budget {
    /// Ring buffer of the latest intervals.
    intervals: [Interval; INTERVALS],
    /// Number of the newest interval, counted from the start of the clock.
    newest: u64,
    retry_fraction: f64,
    retries_min: u32,
}

/// Requests and retries within one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    requests: u32,
    retries: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::open(RETRY_FRACTION, RETRIES_MIN)
    }
}

impl Budget {
    /// Creates a budget of the fraction `retry_fraction` of the requests of 10 s, and of at least
    /// `retries_min` retries.
    #[must_use]
    pub fn open(retry_fraction: f64, retries_min: u32) -> Self {
        Self {
            intervals: [Interval::default(); INTERVALS],
            newest: 0,
            retry_fraction,
            retries_min,
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.interval(now).requests += 1;
    }

    /// Takes a retry from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time of the next try when the budget is exhausted.
    pub fn retry(&mut self, now: Instant) -> Result<(), Instant> {
        self.interval(now);
        let requests: u32 = self.intervals.iter().map(|it| it.requests).sum();
        let retries: u32 = self.intervals.iter().map(|it| it.retries).sum();
        let allowed = (f64::from(requests) * self.retry_fraction) as u32;
        if retries >= allowed.max(self.retries_min) {
            return Err(now + INTERVAL_DURATION);
        }
        self.interval(now).retries += 1;
        Ok(())
    }

    /// Advances the window to `now` and returns its newest interval.
    fn interval(&mut self, now: Instant) -> &mut Interval {
        let number = now.as_micros() / INTERVAL_DURATION.as_micros() as u64;
        let passed = number.saturating_sub(self.newest).min(INTERVALS as u64);
        for step in 1..=passed {
            let stale = (number - passed + step) % INTERVALS as u64;
            self.intervals[stale as usize] = Interval::default();
        }
        self.newest = self.newest.max(number);
        &mut self.intervals[(self.newest % INTERVALS as u64) as usize]
    }
}
