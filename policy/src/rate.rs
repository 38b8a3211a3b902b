use crate::Instant;

/// Exponentially weighted rate of amounts over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    per_ms: f64,
    updated: Instant,
    window_ms: f64,
}

impl Rate {
    pub(crate) const fn with_window(window_ms: f64) -> Self {
        Self {
            per_ms: 0.0,
            updated: Instant::from_micros(0),
            window_ms,
        }
    }

    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        self.per_ms = self.per_ms(now) + amount / self.window_ms;
        self.updated = now;
    }

    pub(crate) fn per_ms(&self, now: Instant) -> f64 {
        let age_ms = now.since(self.updated).as_secs_f64() * 1_000.0;
        self.per_ms * (-age_ms / self.window_ms).exp()
    }
}
