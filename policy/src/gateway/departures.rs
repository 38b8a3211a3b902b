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
    /// When this daemon last read in a response of the endpoint that it leaves.
    said_at: Option<Instant>,
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

    /// Records that a registration says that its endpoint leaves.
    pub(super) fn record_draining(&mut self, endpoint: &Endpoint, now: Instant) {
        let departure = self.entry(&endpoint.id, endpoint.started_ms, now);
        departure.is_announced = true;
        departure.has_ended = false;
    }

    /// Records that a response of an endpoint says that it leaves; `started_ms` is the start of the
    /// process to which the request was sent. Returns whether it is the first one.
    pub(super) fn record_said(&mut self, id: &Name, started_ms: Option<u64>, now: Instant) -> bool {
        let departure = self.entry(id, started_ms, now);
        departure.is_announced = true;
        departure.said_at.replace(now).is_none()
    }

    /// Records that the registration of an endpoint has ended.
    pub(super) fn record_end(&mut self, endpoint: &Endpoint, now: Instant) {
        let is_announced = self.standing(endpoint) == Standing::Leaving;
        let departure = self.entry(&endpoint.id, endpoint.started_ms, now);
        departure.is_announced = is_announced;
        departure.has_ended = true;
    }

    /// Returns the endpoints that said in a response that they leave, with the starts of their
    /// processes and the times of the responses.
    pub(super) fn said(&self) -> impl Iterator<Item = (&Name, Option<u64>, Instant)> {
        let departures = self.departures.iter();
        departures.filter_map(|(id, departure)| {
            let said_at = departure.said_at.filter(|_| departure.is_announced)?;
            Some((id, departure.started_ms, said_at))
        })
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

    /// Returns the departure of an endpoint, which is created if there is none, and renews it.
    fn entry(&mut self, id: &Name, started_ms: Option<u64>, now: Instant) -> &mut Departure {
        if !self.departures.contains_key(id) && self.departures.len() >= DEPARTURES_MAX {
            let departures = self.departures.iter();
            let oldest = departures.min_by_key(|(_, departure)| departure.recorded_at);
            if let Some(oldest) = oldest.map(|(oldest, _)| oldest.clone()) {
                self.departures.remove(&oldest);
            }
        }
        let departure = self.departures.entry(id.clone()).or_insert(Departure {
            started_ms,
            is_announced: false,
            has_ended: false,
            said_at: None,
            recorded_at: now,
        });
        if departure.started_ms < started_ms {
            // What an earlier process said is void.
            departure.said_at = None;
        }
        departure.started_ms = departure.started_ms.max(started_ms);
        departure.recorded_at = now;
        departure
    }
}
