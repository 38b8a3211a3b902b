use std::time::Instant;

/// Limits a rate, with bursts of one second.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    level: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Opens a full bucket.
    pub(crate) fn open(per_second: f64) -> Self {
        Self {
            per_second,
            level: per_second,
            filled: Instant::now(),
        }
    }

    /// Takes `amount`; tells whether there was enough.
    pub(crate) fn take(&mut self, amount: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.level = (self.level + elapsed * self.per_second).min(self.per_second);
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }
}
