use std::time::Duration;

/// The times on which the safety of authority rests.
///
/// The model check runs the same transitions with times of a few ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Time after which the platform drops a lease that is not renewed.
    pub ttl: Duration,
    /// The holder treats its lease as ended this much earlier.
    ///
    /// It covers the whole time of an order's call, a clock rate error of 1% and a step of the
    /// scheduler.
    pub margin: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Longest time from the sending of an order to its delivery.
    pub under_way: Duration,
    /// Wait of a new holder before it orders engines that ignore fencing tokens, before
    /// [`Self::under_way`].
    ///
    /// When the platform comes back with older data, the records name no former holder, but one
    /// may act for the rest of its lease.
    pub settling: Duration,
    /// Time for the news that an engine is about to change to reach all daemons.
    pub notice: Duration,
    /// Time between two reads of an engine's state while an order waits for it, and between two
    /// rounds of decisions.
    pub poll: Duration,
    /// A change whose engine does not run empty in this time is given up.
    pub drain: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            margin: Duration::from_secs(2),
            renewal: Duration::from_millis(2_500),
            under_way: Duration::from_secs(5),
            settling: Duration::from_secs(8),
            notice: Duration::from_secs(3),
            poll: Duration::from_secs(1),
            drain: Duration::from_mins(10),
        }
    }
}

impl Terms {
    /// Time after the sending of a renewal during which the holder may act.
    #[must_use]
    pub fn usable(&self) -> Duration {
        self.ttl.saturating_sub(self.margin)
    }
}
