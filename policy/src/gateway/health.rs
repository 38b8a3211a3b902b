use std::time::Duration;

use crate::Instant;

/// Consecutive failures after which an endpoint is paused. A single one may be the request's fault.
const FAILURES_MAX: u32 = 2;
/// First pause after failures; about the time in which a broken network path recovers.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest pause, so that a recovered endpoint is used again within seconds.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// Weight of one result in the failure rate; about ten results dominate it.
const RATE_WEIGHT: f64 = 0.1;

/// Health of an endpoint, derived from the results of its requests.
///
/// Health checks are not used: each costs a call, and they may contradict the results of real
/// requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    pauses: u32,
    paused_until: Option<Instant>,
    failure_rate: f64,
}

impl Health {
    /// Records a request that the endpoint answered.
    pub fn succeeded(&mut self) {
        self.consecutive_failures = 0;
        self.pauses = 0;
        self.paused_until = None;
        self.failure_rate -= self.failure_rate * RATE_WEIGHT;
    }

    /// Records a request that failed at the endpoint.
    pub fn failed(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.failure_rate += (1.0 - self.failure_rate) * RATE_WEIGHT;
        if self.consecutive_failures >= FAILURES_MAX {
            self.pause(now);
        }
    }

    /// Records that the endpoint could not be reached.
    pub fn unreachable(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.pause(now);
    }

    /// Returns whether the endpoint may be sent a request.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the moving average of the fraction of requests that failed.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Renews the pause when a request is sent after a pause, so that it is the only trial until
    /// its result is known or the new pause ends.
    pub fn begin_trial(&mut self, now: Instant) {
        if self.paused_until.is_some() && self.is_usable(now) {
            self.pause(now);
        }
    }

    fn pause(&mut self, now: Instant) {
        let pause = PAUSE_MIN
            .saturating_mul(1 << self.pauses.min(8))
            .min(PAUSE_MAX);
        self.pauses += 1;
        self.paused_until = Some(now + pause);
    }
}
