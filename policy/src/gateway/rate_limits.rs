use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RateReport;
use super::rate_window::RateWindow;
use crate::Instant;

/// Time for which a limit holds after the last response that named it. Each response names it
/// again, and a few requests are always sent.
const LIMIT_TIME: Duration = Duration::from_secs(30);
/// Age from which a limit is lifted by a response without one. Younger ones may be newer than the
/// response.
const LIFT_AGE_MIN: Duration = Duration::from_millis(250);
/// Time over which the daemons spread their use of a free place, so that few of them take the same
/// one before they learn of each other's requests.
const SPREAD: Duration = Duration::from_millis(300);
/// Maximum number of endpoints whose limits are kept, and of those whose pauses are.
const ENDPOINTS_MAX: usize = 1_024;
/// Longest pause of an endpoint that does not ask for it again.
const PAUSE_MAX: Duration = Duration::from_mins(10);

/// Limits that endpoints in need set on their requests.
///
/// A limit per second holds for all daemons together. They tell each other the limits that they see
/// and the requests that they send to these endpoints, and each counts the requests of all in a
/// sliding window. A pause holds for the daemon to which the endpoint has said it.
#[derive(Debug, Default)]
pub struct RateLimits {
    endpoints: HashMap<Name, EndpointRate>,
    /// Ends of the pauses that endpoints have asked for.
    pauses: HashMap<Name, Instant>,
    changes: u64,
}

/// Limit of one endpoint, and the requests sent to it since the limit is known.
#[derive(Debug)]
struct EndpointRate {
    /// `None` when the endpoint has lifted its limit, which other daemons may not know yet.
    window: Option<RateWindow>,
    /// When an endpoint's response last named or lifted the limit.
    named_at: Instant,
    /// Requests of this daemon.
    sent: u32,
    /// Requests of each other daemon, as last reported.
    peers_sent: HashMap<Name, u32>,
    /// Number of the last change that other daemons should learn.
    change: u64,
}

impl RateLimits {
    /// Records the limit in an endpoint's response, in requests per second, or that it has none.
    /// Returns whether the limit changed.
    pub fn observe(&mut self, id: &Name, per_second: Option<f64>, now: Instant) -> bool {
        let per_second = per_second.filter(|it| it.is_finite() && *it >= 0.0);
        let known = self.endpoints.get(id);
        let known_limit = known.and_then(EndpointRate::per_second);
        if per_second.is_none() {
            let is_recent = known.is_some_and(|it| now.since(it.named_at) < LIFT_AGE_MIN);
            if known_limit.is_none() || is_recent {
                return false;
            }
        }
        self.set(id, per_second, now)
    }

    /// Records that an endpoint wants no request of this daemon for some time, at most ten minutes.
    /// Returns the time that applies, which is not shorter than what is left of earlier pauses.
    pub fn pause(&mut self, id: &Name, time: Duration, now: Instant) -> Duration {
        let until = now + time.min(PAUSE_MAX);
        if self.pauses.len() >= ENDPOINTS_MAX && !self.pauses.contains_key(id) {
            let first = self.pauses.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(first, _)| first.clone()) {
                self.pauses.remove(&first);
            }
        }
        let paused_until = self.pauses.entry(id.clone()).or_insert(until);
        *paused_until = until.max(*paused_until);
        paused_until.since(now)
    }

    /// Returns whether an endpoint has asked for a pause that has not ended.
    #[must_use]
    pub fn is_paused(&self, id: &Name, now: Instant) -> bool {
        self.pauses.get(id).is_some_and(|until| now < *until)
    }

    /// Returns whether the daemon `daemon` may send a request to an endpoint now.
    #[must_use]
    pub fn allows(&self, id: &Name, daemon: &Name, now: Instant) -> bool {
        if self.is_paused(id, now) {
            return false;
        }
        let Some((rate, window)) = self.limited(id, now) else {
            return true;
        };
        let place = xxh3_64_with_seed(daemon.as_bytes(), u64::from(rate.sent));
        let place = xxh3_64_with_seed(id.as_bytes(), place);
        let delay = SPREAD.mul_f64(place as f64 / u64::MAX as f64);
        window
            .free_at()
            .is_none_or(|free_at| now >= free_at + delay)
    }

    /// Returns the time until one of these endpoints takes a request of this daemon.
    pub fn retry_after<'a>(
        &self,
        ids: impl IntoIterator<Item = &'a Name>,
        now: Instant,
    ) -> Duration {
        let free_at = |id| {
            let pause_end = self.pauses.get(id).copied().unwrap_or(now);
            let limited = self.limited(id, now);
            let place_at = limited.and_then(|(_, window)| Some(window.free_at()? + SPREAD));
            place_at.map_or(pause_end, |place_at| place_at.max(pause_end))
        };
        let first = ids.into_iter().map(free_at).min();
        first.map_or(SPREAD, |first| first.since(now))
    }

    /// Records a request of this daemon. Returns whether the endpoint has a limit, so that others
    /// should learn of it.
    pub fn record_sent(&mut self, id: &Name, now: Instant) -> bool {
        let Some(rate) = self.endpoints.get_mut(id) else {
            return false;
        };
        let Some(window) = &mut rate.window else {
            return false;
        };
        window.record(now);
        rate.sent = rate.sent.wrapping_add(1);
        self.changes += 1;
        rate.change = self.changes;
        true
    }

    /// Returns the number of changes so far that other daemons should learn.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns what other daemons should learn of the changes after the given number of them.
    #[must_use]
    pub fn reports(&self, after_changes: u64) -> Vec<RateReport> {
        let changed = self.endpoints.iter();
        let changed = changed.filter(|(_, rate)| rate.change > after_changes);
        let reports = changed.map(|(id, rate)| RateReport {
            endpoint: id.clone(),
            per_second: rate.per_second(),
            named_at: rate.named_at,
            sent: rate.sent,
        });
        reports.collect()
    }

    /// Adds the reports of another daemon; their times are on this daemon's clock. Returns the
    /// endpoints whose limits changed, with the limits.
    pub fn merge(
        &mut self,
        peer: &Name,
        reports: Vec<RateReport>,
        now: Instant,
    ) -> Vec<(Name, Option<f64>)> {
        let mut changed = Vec::new();
        for report in reports.into_iter().take(ENDPOINTS_MAX) {
            let id = &report.endpoint;
            let known = self.endpoints.get(id);
            let is_newer = known.is_none_or(|it| it.named_at < report.named_at);
            if is_newer && now.since(report.named_at) < LIMIT_TIME {
                let named_at = report.named_at.min(now);
                if self.set(id, report.per_second, named_at) {
                    changed.push((id.clone(), report.per_second));
                }
            }
            if let Some(rate) = self.endpoints.get_mut(id) {
                let last = rate.peers_sent.insert(peer.clone(), report.sent);
                // A daemon that has started anew counts from zero.
                let new = report.sent.saturating_sub(last.unwrap_or_default());
                if let Some(window) = &mut rate.window {
                    window.record_several(new, now);
                }
            }
        }
        changed
    }

    /// Removes the limit and the pause of an endpoint that has restarted.
    pub fn endpoint_restarted(&mut self, id: &Name) {
        self.endpoints.remove(id);
        self.pauses.remove(id);
    }

    /// Removes limits that no response has named lately, and pauses that have ended.
    pub fn expire(&mut self, now: Instant) {
        self.endpoints
            .retain(|_, rate| now.since(rate.named_at) < LIMIT_TIME);
        self.pauses.retain(|_, until| now < *until);
    }

    fn limited(&self, id: &Name, now: Instant) -> Option<(&EndpointRate, &RateWindow)> {
        let rate = self.endpoints.get(id)?;
        let is_current = now.since(rate.named_at) < LIMIT_TIME;
        is_current.then_some((rate, rate.window.as_ref()?))
    }

    /// Sets the limit of an endpoint. Returns whether it changed.
    fn set(&mut self, id: &Name, per_second: Option<f64>, named_at: Instant) -> bool {
        if !self.endpoints.contains_key(id) {
            if per_second.is_none() || self.endpoints.len() >= ENDPOINTS_MAX {
                return false;
            }
            let rate = EndpointRate {
                window: None,
                named_at,
                sent: 0,
                peers_sent: HashMap::new(),
                change: 0,
            };
            self.endpoints.insert(id.clone(), rate);
        }
        let Some(rate) = self.endpoints.get_mut(id) else {
            return false;
        };
        rate.named_at = named_at;
        if rate.per_second() == per_second {
            return false;
        }
        match (&mut rate.window, per_second) {
            (Some(window), Some(per_second)) => window.set_limit(per_second),
            (window, per_second) => *window = per_second.map(RateWindow::new),
        }
        self.changes += 1;
        rate.change = self.changes;
        true
    }
}

impl EndpointRate {
    fn per_second(&self) -> Option<f64> {
        self.window.as_ref().map(RateWindow::per_second)
    }
}
