use std::time::Instant;

/// Rate limiter that allows bursts of one second's worth of tokens.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn open(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: per_second,
            refilled_at: Instant::now(),
        }
    }

    /// Takes `amount` tokens and returns true, or returns false when fewer are left.
    pub(crate) fn take(&mut self, amount: f64, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
