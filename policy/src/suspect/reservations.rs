use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::{Admission, ContentDigest, StrikeTable};
use crate::Instant;

/// Maximum time for which one message reserves an endpoint; a longer time requested by a peer is
/// cut to it.
const RESERVATION_TIME_MAX: Duration = Duration::from_secs(10);

/// Endpoints reserved for trials, and the contents that this daemon runs on each endpoint.
#[derive(Debug, Default)]
pub struct Reservations {
    /// Reservations by endpoint.
    reserved: HashMap<Name, Reservation>,
    /// For each endpoint, the number of running requests with each content.
    running: HashMap<Name, HashMap<ContentDigest, u32>>,
}

/// An endpoint's reservation for the trial with the identity `trial`.
#[derive(Debug)]
struct Reservation {
    trial: Name,
    until: Instant,
}

impl Reservations {
    /// Records that a request with this content starts on an endpoint.
    pub fn begin_request(&mut self, endpoint: &Name, content: ContentDigest) {
        let contents = self.running.entry(endpoint.clone()).or_default();
        *contents.entry(content).or_default() += 1;
    }

    /// Records the end of a request recorded by [`Self::begin_request`].
    pub fn end_request(&mut self, endpoint: &Name, content: ContentDigest) {
        let Some(contents) = self.running.get_mut(endpoint) else {
            return;
        };
        if let Some(count) = contents.get_mut(&content) {
            *count -= 1;
            if *count == 0 {
                contents.remove(&content);
            }
        }
        if contents.is_empty() {
            self.running.remove(endpoint);
        }
    }

    /// Returns the number of requests that this daemon runs on an endpoint.
    #[must_use]
    pub fn running(&self, endpoint: &Name) -> u32 {
        self.running
            .get(endpoint)
            .map_or(0, |contents| contents.values().sum())
    }

    /// Reserves an endpoint for the trial with the identity `trial`, or renews the reservation.
    ///
    /// Returns `false` when another trial holds the endpoint, or when this daemon runs a content
    /// with a strike there outside the trial.
    pub fn reserve(
        &mut self,
        endpoint: &Name,
        trial: &Name,
        time: Duration,
        strikes: &StrikeTable,
        now: Instant,
    ) -> bool {
        self.reserved
            .retain(|_, reservation| reservation.until > now);
        let is_renewal = match self.reserved.get(endpoint) {
            Some(reservation) if reservation.trial != *trial => return false,
            Some(_) => true,
            None => false,
        };
        if !is_renewal && self.runs_content_with_strike(endpoint, strikes, now) {
            return false;
        }
        let until = now + time.min(RESERVATION_TIME_MAX);
        let reservation = Reservation {
            trial: trial.clone(),
            until,
        };
        self.reserved.insert(endpoint.clone(), reservation);
        true
    }

    /// Ends a trial's reservation.
    pub fn release(&mut self, endpoint: &Name, trial: &Name) {
        if self
            .reserved
            .get(endpoint)
            .is_some_and(|reservation| reservation.trial == *trial)
        {
            self.reserved.remove(endpoint);
        }
    }

    fn runs_content_with_strike(
        &self,
        endpoint: &Name,
        strikes: &StrikeTable,
        now: Instant,
    ) -> bool {
        self.running.get(endpoint).is_some_and(|contents| {
            contents
                .keys()
                .any(|content| strikes.admission(*content, now) != Admission::Allowed)
        })
    }
}
