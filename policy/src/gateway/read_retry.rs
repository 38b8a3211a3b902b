use std::time::Duration;

/// Base and maximum of the exponential backoff after failed reads; the first delay is twice the
/// base.
const DELAY_BASE: Duration = Duration::from_millis(100);
const DELAY_MAX: Duration = Duration::from_millis(800);
/// Maximum time to wait for a response. A store that needs longer is as good as unavailable.
const TIMEOUT_MAX: Duration = Duration::from_secs(2);
/// Number of reads in a row that may get no response before the next one waits longer.
const PATIENT_AFTER: u32 = 2;

/// Timeouts of a task's reads of the store, and the delays after failed ones.
///
/// A read without a response says nothing about the store, which may answer the next one at once;
/// what the read would have shown must still be known in time. So a read is given up early, and
/// only a store that answers none of several reads gets more time.
#[derive(Debug)]
pub struct ReadRetry {
    timeout: Duration,
    failures: u32,
}

impl ReadRetry {
    /// Returns the state before the first read, which waits for a response for `timeout`.
    #[must_use]
    pub const fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            failures: 0,
        }
    }

    /// Returns the time to wait for the response to the next read, apart from the time for which the
    /// store is asked to wait for changes.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let doublings = self.failures.saturating_sub(PATIENT_AFTER - 1).min(8);
        let timeout = self.timeout.saturating_mul(1 << doublings);
        timeout.min(TIMEOUT_MAX.max(self.timeout))
    }

    /// Returns the number of reads that have failed since the last response.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Records that a read has failed; `elapsed` is the time since it was sent. Returns the time until
    /// the next one.
    pub fn record_failure(&mut self, elapsed: Duration) -> Duration {
        self.failures += 1;
        let delay = DELAY_BASE.saturating_mul(1 << self.failures.min(4));
        delay.min(DELAY_MAX).saturating_sub(elapsed)
    }

    /// Records a response, or that the failed reads mean nothing for the next one.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
