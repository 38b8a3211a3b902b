use std::time::Duration;

use crate::StoreError;

const BACKOFF_FIRST: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Keeps the shift from overflowing; the delay has reached [`BACKOFF_MAX`] before.
const DOUBLINGS_MAX: u32 = 8;

/// Policy for retrying failed calls to the platform.
pub trait Retry {
    /// Waits before the next call; returns `false` if the call must not be retried.
    ///
    /// `failures` counts the failures in a row, including the one with this `cause`.
    fn wait(&mut self, failures: u32, cause: &StoreError) -> bool;
}

/// Returns the delay after a number of failures in a row; it doubles from 100 ms up to 2 s.
#[must_use]
pub fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(DOUBLINGS_MAX);
    BACKOFF_MAX.min(BACKOFF_FIRST * (1 << doublings))
}
