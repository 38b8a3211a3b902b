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
/// Minimum time without answers in which an endpoint's registration can lapse: endpoints renew it
/// every 1.2 s, and the store removes it after three intervals, of which one may have passed before.
const LAPSE_TIME_MIN: Duration = Duration::from_secs(2);

/// Store outage as detected by the calls that keep a daemon registered, and when it makes these.
///
/// Other calls may fail while the store is available: it may end a watch that waits. Such a failure
/// only makes the daemon call the store at once, and the answer shows whether there is an outage.
///
/// During an outage a few daemons of each data centre call often. The first one that the store
/// answers tells all others, which then call at once; one that is not told goes on with its
/// renewals. So the calls of a large fleet do not press the store that comes back.
#[derive(Debug, Default)]
pub struct StoreOutage {
    /// When the last call that the store answered was sent.
    answered_at: Option<Instant>,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Available,
    /// Another call has failed since the last answer.
    Suspected,
    /// Calls that keep this daemon registered have failed since the last answer.
    Active {
        /// When the last one was sent.
        failed_at: Instant,
        is_confirmed: bool,
    },
}

/// What an answer of the store shows about the time before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// No call has failed since the answer before.
    Unneeded,
    /// A call failed that is no evidence of an outage.
    NoOutage,
    /// The store did not answer, but for too short a time for registrations to lapse.
    ShortOutage,
    /// The store did not answer, and registrations may have lapsed.
    Outage,
}

impl StoreOutage {
    /// Returns whether calls that keep this daemon registered have failed since the last answer.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        matches!(self.state, State::Active { .. })
    }

    /// Records that another call failed; returns whether to call the store at once, as it may be
    /// unavailable.
    pub fn suspect(&mut self) -> bool {
        let is_new = self.state == State::Available;
        if is_new {
            self.state = State::Suspected;
        }
        is_new
    }

    /// Records that a call sent at this time failed; returns whether an outage starts with it.
    pub const fn record_failure(&mut self, sent_at: Instant) -> bool {
        let is_first = !self.is_active();
        self.state = State::Active {
            failed_at: sent_at,
            is_confirmed: !is_first,
        };
        is_first
    }

    /// Records that the store answered a call sent at this time; returns what has ended with it.
    pub fn record_success(&mut self, sent_at: Instant) -> Recovery {
        let answered_before = self.answered_at.replace(sent_at);
        // Before the first answer, the store may have been unavailable for any time.
        let is_short = answered_before.is_some_and(|at| sent_at.since(at) < LAPSE_TIME_MIN);
        match std::mem::take(&mut self.state) {
            State::Available => Recovery::Unneeded,
            State::Suspected if is_short => Recovery::NoOutage,
            State::Active { .. } if is_short => Recovery::ShortOutage,
            State::Suspected | State::Active { .. } => Recovery::Outage,
        }
    }

    /// Returns whether to call at once, as the store answered another daemon's call of this time.
    #[must_use]
    pub fn may_have_ended(&self, answered_at: Instant) -> bool {
        matches!(self.state, State::Active { failed_at, .. } if answered_at > failed_at)
    }

    /// Returns the time until the next call of a daemon of this rank in its data centre.
    #[must_use]
    pub const fn interval(&self, rank: usize) -> Duration {
        match self.state {
            // A second call tells a lost answer from an outage.
            State::Active { is_confirmed, .. } if rank < PROBERS || !is_confirmed => PROBE_INTERVAL,
            _ => RENEWAL_INTERVAL,
        }
    }
}
