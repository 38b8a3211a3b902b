use std::time::Duration;

use crate::authority::LeaseTiming;

/// Durations of the election of the holder, derived from the time that the platform allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Durations of the lease in the store.
    pub lease: LeaseTiming,
    /// Timeout of a duty call.
    pub call_timeout: Duration,
    /// Time within which a former holder must not act after another holder.
    pub lease_time: Duration,
}

impl Timing {
    /// Scheduling delay and clock rate error that the expiry margin covers.
    const SCHEDULING_MARGIN: Duration = Duration::from_millis(100);

    /// Derives the durations from `lease_time`, within which (plus 2 s) a holder must be replaced,
    /// and `thaw`, the time that a resumed process may act before it notices the suspension.
    ///
    /// The store's lease lasts two thirds of `lease_time`. The rest is for the interval at which
    /// candidates read the lock, for the acquisition and for the wait of a new holder.
    #[must_use]
    pub fn new(lease_time: Duration, thaw: Duration) -> Self {
        let call_timeout = lease_time * 2 / 15;
        let ttl = lease_time * 2 / 3;
        let expiry_margin = (call_timeout + thaw + Self::SCHEDULING_MARGIN).min(ttl / 2);
        let lease = LeaseTiming {
            ttl,
            expiry_margin,
            renew_interval: ttl / 4,
            retry_interval: lease_time * 3 / 10,
            delivery_max: call_timeout,
            takeover_wait: ttl.saturating_sub(expiry_margin) + call_timeout,
            ..LeaseTiming::default()
        };
        Self {
            lease,
            call_timeout,
            lease_time,
        }
    }
}
