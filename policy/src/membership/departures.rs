use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::Departure;

use super::dissemination::transmissions_for;
use crate::Instant;

/// Time after which a mark that is not renewed expires, so that an endpoint returns to service when
/// the daemon that makes the planned change stops. That daemon renews its marks every few seconds.
const MARK_TIMEOUT: Duration = Duration::from_secs(30);
/// Updates in one exchange; about 100 bytes each.
const UPDATES_MAX: usize = 16;

/// Marks that prevent new work for endpoints during a planned change.
#[derive(Debug, Default)]
pub struct Departures {
    marks: BTreeMap<Name, Mark>,
}

#[derive(Debug)]
struct Mark {
    departure: Departure,
    changed: Instant,
    transmissions_left: u32,
}

impl Departures {
    /// Merges received marks and returns the endpoints whose marks were added, renewed or ended.
    ///
    /// Of two marks for one endpoint, the one with the higher sequence wins.
    pub fn merge(&mut self, departures: &[Departure], daemons: usize, now: Instant) -> Vec<Name> {
        let transmissions_left = transmissions_for(daemons);
        let mut changed = Vec::new();
        for departure in departures {
            let known = self.marks.get(&departure.endpoint);
            if known.is_some_and(|mark| mark.departure.sequence >= departure.sequence) {
                continue;
            }
            let mark = Mark {
                departure: departure.clone(),
                changed: now,
                transmissions_left,
            };
            self.marks.insert(departure.endpoint.clone(), mark);
            changed.push(departure.endpoint.clone());
        }
        changed
    }

    /// Returns whether an endpoint accepts no new work because of a planned change.
    #[must_use]
    pub fn is_marked(&self, endpoint: &str, incarnation: u64, now: Instant) -> bool {
        self.marks.get(endpoint).is_some_and(|mark| {
            mark.departure.leaving
                && mark.departure.incarnation == incarnation
                && now.since(mark.changed) < MARK_TIMEOUT
        })
    }

    /// Removes expired marks and returns their endpoints.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let expired: Vec<Name> = self
            .marks
            .iter()
            .filter(|(_, mark)| now.since(mark.changed) >= MARK_TIMEOUT)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in &expired {
            self.marks.remove(endpoint);
        }
        expired
    }

    /// Returns the updates for the next exchange. Each is sent a bounded number of times.
    pub fn updates(&mut self) -> Vec<Departure> {
        let mut updates = Vec::new();
        for mark in self.marks.values_mut() {
            if mark.transmissions_left > 0 && updates.len() < UPDATES_MAX {
                mark.transmissions_left -= 1;
                updates.push(mark.departure.clone());
            }
        }
        updates
    }

    /// Returns all marks, for a daemon that has just started or resumed.
    #[must_use]
    pub fn all(&self) -> Vec<Departure> {
        self.marks
            .values()
            .map(|mark| mark.departure.clone())
            .collect()
    }
}
