use std::time::Duration;

/// Durations on which the safety of the lease and of orders depends.
///
/// The model checker runs the same state machines with durations of a few ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Time after which the platform expires a lease that is not renewed.
    pub ttl: Duration,
    /// Time before the expiry of its lease from which the holder treats it as ended.
    ///
    /// It covers the whole duration of an order's call, a clock rate error of 1% and one scheduling
    /// delay.
    pub expiry_margin: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time, in addition to the jitter, after which a candidate reads the lock record again that
    /// another daemon holds, or that an earlier attempt may have left.
    pub retry_interval: Duration,
    /// Maximum time from the sending of an order to its delivery.
    pub delivery_max: Duration,
    /// Time that a new holder waits, in addition to [`Self::delivery_max`], before it orders
    /// engines that ignore fencing tokens.
    ///
    /// When the key-value service is restored from older data, its records may lack a former
    /// holder, which can still act until its lease ends.
    pub takeover_wait: Duration,
    /// Time in which gossip carries the mark of a draining engine to all daemons, which send no new
    /// work to a marked engine.
    pub mark_propagation: Duration,
    /// Time between two reads of an engine's state while an order waits for it, and between two
    /// rounds of decisions.
    pub poll_interval: Duration,
    /// Time after which an order that still waits to be sent is cancelled; most such orders wait
    /// for their engine to finish its requests.
    pub drain_timeout: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            expiry_margin: Duration::from_secs(2),
            renew_interval: Duration::from_millis(2_500),
            retry_interval: Duration::from_secs(10),
            delivery_max: Duration::from_secs(5),
            takeover_wait: Duration::from_secs(8),
            mark_propagation: Duration::from_secs(3),
            poll_interval: Duration::from_secs(1),
            drain_timeout: Duration::from_mins(10),
        }
    }
}

impl LeaseTiming {
    /// Returns the time after a renewal was sent during which the holder may act.
    #[must_use]
    pub fn effective_ttl(&self) -> Duration {
        self.ttl.saturating_sub(self.expiry_margin)
    }
}
