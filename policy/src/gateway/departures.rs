use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::Endpoint;
use crate::Instant;

/// Time for which a departure is remembered after the registration of the endpoint has ended.
const RETENTION_TIME: Duration = Duration::from_mins(1);
/// Maximum number of departures that are remembered.
const DEPARTURES_MAX: usize = 1_024;

/// Endpoints that are leaving or have left.
///
/// Leaving is final for a process. Only a later start of the endpoint, or a new registration after
/// the end of the one before where the start is unknown, is another process; an older copy of the
/// registrations is no evidence of one.
#[derive(Debug, Default)]
pub(super) struct Departures {
    departures: HashMap<Name, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Latest known start of a process that leaves, in Unix ms.
    started_ms: Option<u64>,
    /// Whether the endpoint said that it leaves. Otherwise only its registration ended, as it also
    /// does when an endpoint was silent for a while.
    is_announced: bool,
    /// Whether the registration has ended since.
    has_ended: bool,
    recorded_at: Instant,
}

/// What is known about the endpoint of a registration from earlier departures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// No departure of this process is known.
    Present,
    /// The process said that it leaves.
    Leaving,
    /// The registration of the process has ended before.
    Ended,
}

impl Departures {
    pub(super) fn len(&self) -> usize {
        self.departures.len()
    }

    /// Records that an endpoint said that it leaves.
    pub(super) fn announce(&mut self, endpoint: &Endpoint, now: Instant) {
        self.insert(endpoint, true, false, now);
    }

    /// Records that the registration of an endpoint has ended.
    pub(super) fn record_end(&mut self, endpoint: &Endpoint, now: Instant) {
        let is_announced = self.standing(endpoint) == Standing::Leaving;
        self.insert(endpoint, is_announced, true, now);
    }

    /// Returns what is known about the endpoint of a registration.
    pub(super) fn standing(&self, endpoint: &Endpoint) -> Standing {
        let Some(departure) = self.departures.get(&endpoint.id) else {
            return Standing::Present;
        };
        match (departure.started_ms, endpoint.started_ms) {
            (Some(left_ms), Some(started_ms)) if started_ms > left_ms => Standing::Present,
            _ if departure.is_announced => Standing::Leaving,
            _ => Standing::Ended,
        }
    }

    /// Forgets the departure of an endpoint if a registration that was written now, and not copied,
    /// shows another process or one that is back.
    pub(super) fn record_registration(&mut self, endpoint: &Endpoint) {
        let Some(departure) = self.departures.get(&endpoint.id) else {
            return;
        };
        let is_start_known = departure.started_ms.is_some() && endpoint.started_ms.is_some();
        let is_back = match self.standing(endpoint) {
            Standing::Present | Standing::Ended => true,
            Standing::Leaving => departure.has_ended && !is_start_known,
        };
        if is_back {
            self.departures.remove(&endpoint.id);
        }
    }

    /// Forgets departures after their retention time, unless the endpoint is still registered.
    pub(super) fn expire(&mut self, now: Instant, is_registered: impl Fn(&Name) -> bool) {
        self.departures.retain(|id, departure| {
            now.since(departure.recorded_at) < RETENTION_TIME || is_registered(id)
        });
    }

    fn insert(&mut self, endpoint: &Endpoint, is_announced: bool, has_ended: bool, now: Instant) {
        let known = self.departures.get(&endpoint.id);
        let known_started_ms = known.and_then(|departure| departure.started_ms);
        if known.is_none() && self.departures.len() >= DEPARTURES_MAX {
            let oldest = self
                .departures
                .iter()
                .min_by_key(|(_, departure)| departure.recorded_at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.departures.remove(&id);
            }
        }
        let departure = Departure {
            started_ms: known_started_ms.max(endpoint.started_ms),
            is_announced,
            has_ended,
            recorded_at: now,
        };
        self.departures.insert(endpoint.id.clone(), departure);
    }
}
