use std::time::Duration;

use crate::Instant;

/// Reading of a daemon's monotonic and system clocks.
///
/// Lease time is measured with both, since the monotonic clock may not advance while a VM is
/// suspended and the system clock may be set back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Timestamp {
    /// The monotonic clock.
    pub monotonic: Instant,
    /// The system clock, Unix time in milliseconds.
    pub unix_ms: u64,
}

impl Timestamp {
    /// Returns whether less than `duration` has passed since `earlier` on both clocks.
    #[must_use]
    pub fn is_within(self, duration: Duration, earlier: Self) -> bool {
        let system = Duration::from_millis(self.unix_ms.saturating_sub(earlier.unix_ms));
        self.monotonic.since(earlier.monotonic) < duration && system < duration
    }
}
