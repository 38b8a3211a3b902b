use std::time::Duration;

/// Pause after a listing. Daemons that start together list only some of the others, and know all of
/// them after the next read.
const LISTING_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Time for which a read after a pause lets the source wait for changes, as a fraction of the
/// interval.
const WAIT_FRACTION: f64 = 0.35;

/// When a daemon that reads registrations for itself reads them, and how long it lets the source
/// wait for changes.
///
/// A read that gets no response looks like one without changes, so the pause before it and its wait
/// together bound the time for which a change may be unknown.
#[derive(Debug)]
pub struct OwnReads {
    /// Pause after a read with changes, so that changes are read in batches.
    interval: Duration,
    pause: Duration,
}

impl OwnReads {
    /// Returns the state before the first listing.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            pause: Duration::ZERO,
        }
    }

    /// Records a complete listing.
    pub fn record_listing(&mut self) {
        self.pause = self.interval.min(LISTING_PAUSE_MAX);
    }

    /// Records the end of a read.
    pub const fn record_read(&mut self, has_changes: bool) {
        self.pause = if has_changes {
            self.interval
        } else {
            Duration::ZERO
        };
    }

    /// Returns the pause before the next read.
    #[must_use]
    pub const fn pause(&self) -> Duration {
        self.pause
    }

    /// Returns how long the next read lets the source wait.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let cycle = self.interval.mul_f64(1.0 + WAIT_FRACTION);
        cycle.saturating_sub(self.pause)
    }
}
