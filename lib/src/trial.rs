//! Requests suspected of crashing an endpoint, and endpoints reserved to retry them in isolation.
//!
//! The content of a request gets a strike when an endpoint crashes while it runs the request.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ragwortgrade_policy::suspect::{Admission, ContentDigest, Reservations, StrikeTable};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{Strike, Trial};

use crate::Clock;

/// Known strikes, and the reservations of endpoints for trials.
#[derive(Debug)]
pub struct Trials {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    strike_table: StrikeTable,
    reservations: Reservations,
}

impl Default for Trials {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            state: Mutex::default(),
        }
    }
}

impl Trials {
    /// Reserves an endpoint for a trial: this daemon sends it no other request that has a strike.
    /// Records the strikes that come with the trial. A time of zero ends the reservation. Returns
    /// whether the reservation was made or ended.
    #[must_use]
    pub fn reserve(&self, trial: &Trial) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        state.strike_table.merge(&trial.strikes, now);
        if trial.for_ms == 0 {
            state.reservations.release(&trial.endpoint, &trial.holder);
            return true;
        }
        let duration = Duration::from_millis(trial.for_ms);
        let State {
            strike_table,
            reservations,
        } = &mut *state;
        reservations.reserve(&trial.endpoint, &trial.holder, duration, strike_table, now)
    }

    /// Returns the strikes for gossip.
    #[must_use]
    pub fn strikes(&self) -> Vec<Strike> {
        let now = self.clock.now();
        self.lock().strike_table.strikes_for_gossip(now)
    }

    /// Records strikes received by gossip.
    pub fn merge(&self, strikes: &[Strike]) {
        let now = self.clock.now();
        self.lock().strike_table.merge(strikes, now);
    }

    /// Returns where a request with this content may run.
    pub(crate) fn admission(&self, content: ContentDigest) -> Admission {
        let now = self.clock.now();
        self.lock().strike_table.admission(content, now)
    }

    pub(crate) fn strikes_against(&self, content: ContentDigest) -> Vec<Strike> {
        let now = self.clock.now();
        self.lock().strike_table.strikes(content, now)
    }

    /// Clears the strikes against a content that ran to its end.
    pub(crate) fn record_completion(&self, content: ContentDigest) {
        self.lock().strike_table.record_completion(content);
    }

    /// Records the crash of an endpoint that ran a content.
    pub(crate) fn record_crash(&self, content: ContentDigest, endpoint: &Name, incarnation: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_alone = state.reservations.running(endpoint) <= 1;
        state
            .strike_table
            .record_crash(content, endpoint, incarnation, is_alone, now);
    }

    /// Records that a request with this content starts on an endpoint.
    pub(crate) fn record_start(&self, endpoint: &Name, content: ContentDigest) {
        self.lock().reservations.begin_request(endpoint, content);
    }

    /// Records the end of a request recorded by [`Self::record_start`].
    pub(crate) fn record_end(&self, endpoint: &Name, content: ContentDigest) {
        self.lock().reservations.end_request(endpoint, content);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
