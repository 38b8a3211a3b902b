use std::time::Duration;

use crate::Instant;

/// Time of unused budget that is kept.
const BURST: Duration = Duration::from_secs(1);

/// Budget of bytes per second that a daemon sends to others, as a token bucket.
///
/// A send is allowed while the budget is not overdrawn, so that a message may be larger than the
/// burst; sends after it wait until the debt is paid.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    available: f64,
    updated_at: Instant,
}

impl ByteBudget {
    /// Returns a full budget with this rate, which must be positive.
    #[must_use]
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second,
            available: bytes_per_second * BURST.as_secs_f64(),
            updated_at: Instant::default(),
        }
    }

    /// Returns the time until a send is allowed.
    pub fn wait_time(&mut self, now: Instant) -> Duration {
        self.refill(now);
        let debt = (-self.available).max(0.0);
        Duration::from_secs_f64(debt / self.bytes_per_second)
    }

    /// Spends these bytes if a send is allowed now; returns whether it is.
    pub fn spend(&mut self, bytes: usize, now: Instant) -> bool {
        self.refill(now);
        if self.available < 0.0 {
            return false;
        }
        self.available -= bytes as f64;
        true
    }

    /// Spends these bytes, also if the budget is overdrawn.
    pub fn charge(&mut self, bytes: usize, now: Instant) {
        self.refill(now);
        self.available -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let burst = self.bytes_per_second * BURST.as_secs_f64();
        self.available = (self.available + elapsed * self.bytes_per_second).min(burst);
        self.updated_at = self.updated_at.max(now);
    }
}
