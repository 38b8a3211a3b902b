use std::time::Duration;

use crate::Instant;

/// Interval at which a registration is renewed. A renewal costs a tenth of a normal call and also
/// detects store outages; operators allow about 3 s after an outage until a daemon applies changes
/// again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the daemons that detect the end of an outage early: endpoints whose registration
/// expired meanwhile have 2 s from the detection to register again before they are removed.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of these daemons in a data centre, several so that some of them may be gone.
const PROBERS: usize = 4;

/// Store outage as detected by the calls that keep a daemon registered, and when it makes these.
///
/// During an outage a few daemons of each data centre call often. The first one that the store
/// answers tells all others, which then call at once; one that is not told goes on with its
/// renewals. So the calls of a large fleet do not press the store that comes back.
#[derive(Debug, Default)]
pub struct StoreOutage {
    /// When the last failed call was sent, if the outage goes on.
    failed_at: Option<Instant>,
}

impl StoreOutage {
    /// Returns whether the outage goes on.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Records that a call sent at this time failed; returns whether an outage starts with it.
    pub const fn record_failure(&mut self, sent_at: Instant) -> bool {
        self.failed_at.replace(sent_at).is_none()
    }

    /// Records that the store answered a call; returns whether an outage ends with it.
    pub const fn record_success(&mut self) -> bool {
        self.failed_at.take().is_some()
    }

    /// Returns whether to call at once, as the store answered another daemon's call of this time.
    #[must_use]
    pub fn may_have_ended(&self, answered_at: Instant) -> bool {
        self.failed_at
            .is_some_and(|failed_at| answered_at > failed_at)
    }

    /// Returns the time until the next call of a daemon of this rank in its data centre.
    #[must_use]
    pub const fn interval(&self, rank: usize) -> Duration {
        if self.is_active() && rank < PROBERS {
            PROBE_INTERVAL
        } else {
            RENEWAL_INTERVAL
        }
    }
}
