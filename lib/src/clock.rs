use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::Timestamp;

/// Monotonic clock, with access to the system clock.
///
/// Each monotonic clock counts from its own start, so instants of two clocks cannot be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
    /// What the clock showed at its start.
    offset: Duration,
}

impl Clock {
    /// Starts a monotonic clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(Duration::ZERO)
    }

    /// Starts a monotonic clock at `offset`, so that it can express times before its start.
    #[must_use]
    pub fn start_at(offset: Duration) -> Self {
        Self {
            start: std::time::Instant::now(),
            offset,
        }
    }

    /// Returns the time on the clock, as an [`Instant`] of the policy crate.
    #[must_use]
    pub fn now(&self) -> Instant {
        let elapsed = self.start.elapsed() + self.offset;
        Instant::from_micros(elapsed.as_micros() as u64)
    }

    /// Returns a reading of both clocks.
    #[must_use]
    pub fn timestamp(&self) -> Timestamp {
        Timestamp {
            monotonic: self.now(),
            unix_ms: self.unix_ms(),
        }
    }

    /// Returns the Unix time of the system clock in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        since.as_millis() as u64
    }
}
