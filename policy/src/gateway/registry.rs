use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::departures::{Departures, Standing};
use super::{DepartureReport, Endpoint, EndpointState};
use crate::Instant;

/// Time after the source is restored within which a live endpoint registers again; the platform
/// documents "about two seconds". A daemon that was cut off itself must notice leaving endpoints
/// within 3 s of its return.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_100);
/// Longest time between two reads of others for which registrations cannot have lapsed meanwhile:
/// endpoints renew them every 1.2 s, and they lapse after three intervals.
const VOUCH_GAP_MAX: Duration = Duration::from_secs(2);
/// Time after a rollback of the source in which the registration of a stopped endpoint, which the
/// older copy has, ends: several heartbeats of endpoints.
const OLD_REGISTRATION_TIME: Duration = Duration::from_secs(10);
/// Time for which another daemon's report that an endpoint leaves holds. Endpoints that leave also
/// register it.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of reports that a daemon sends, or takes from another one at once.
const REPORTS_MAX: usize = 64;

/// A change of one registration.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The endpoint registered or changed.
    Put(Endpoint),
    /// The registration was removed.
    Removed(Name),
    /// The registration with this identity cannot be parsed.
    Unreadable(Name),
}

/// Endpoints that are known from their registrations.
///
/// The source is the service that lists the registrations. A registration that lapses while the
/// source is unavailable does not show that the endpoint stopped, so an endpoint that was not
/// draining is retained until it has had time to register again. The source is available if it
/// answers this daemon or others that hand on what they read. Nor does a registration in an
/// older copy, to which the source was rolled back, show that an endpoint has returned.
#[derive(Debug, Default)]
pub struct Registry {
    endpoints: HashMap<Name, Entry>,
    departures: Departures,
    is_source_lost: bool,
    /// When the registrations were first listed.
    listed_at: Option<Instant>,
    vouched: Option<Vouched>,
    source_restored: Option<Instant>,
    source_rolled_back: Option<Instant>,
    /// Number of endpoints that said in a response that they leave.
    said_changes: u64,
}

#[derive(Debug)]
struct Entry {
    endpoint: Endpoint,
    status: Status,
    /// End of the time for which another daemon's report that the endpoint leaves holds.
    reported_until: Option<Instant>,
}

/// Time for which the source answered other daemons without a gap in which registrations can lapse.
#[derive(Clone, Copy, Debug)]
struct Vouched {
    since: Instant,
    until: Instant,
}

/// What is known of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    /// It was written or listed last.
    Registered,
    /// It lapsed during or shortly after an outage of the source.
    Lapsed,
    /// It had ended, and an older copy lists it again.
    Unconfirmed,
}

/// Where a registration was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// It was written since the last listing.
    Written,
    /// It stands in a listing and may be old.
    Listed,
}

impl Registry {
    /// Returns the endpoints that accept new work.
    pub fn usable(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .values()
            .filter(|entry| entry.is_usable())
            .map(|entry| &entry.endpoint)
    }

    /// Returns whether an endpoint accepts new work.
    #[must_use]
    pub fn is_usable(&self, id: &Name) -> bool {
        self.endpoints.get(id).is_some_and(Entry::is_usable)
    }

    /// Returns the identities of all known endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.endpoints.keys()
    }

    /// Returns whether an endpoint is in use although its registration has ended: it may have lapsed
    /// in an outage of the source.
    #[must_use]
    pub fn is_lapsed(&self, id: &Name) -> bool {
        let entry = self.endpoints.get(id);
        entry.is_some_and(|entry| entry.status == Status::Lapsed)
    }

    /// Returns the endpoints that are in use although their registrations have ended.
    pub fn lapsed(&self) -> impl Iterator<Item = &Name> {
        let entries = self.endpoints.iter();
        let lapsed = entries.filter(|(_, entry)| entry.status == Status::Lapsed);
        lapsed.map(|(id, _)| id)
    }

    /// Returns an endpoint by identity, whatever its state.
    #[must_use]
    pub fn get(&self, id: &Name) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|entry| &entry.endpoint)
    }

    /// Returns the number of known endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the number of endpoints that are remembered as leaving or gone.
    #[must_use]
    pub fn departures_len(&self) -> usize {
        self.departures.len()
    }

    /// Applies a change and returns whether it affects placement.
    pub fn apply(&mut self, change: Change, now: Instant) -> bool {
        match change {
            Change::Put(endpoint) => self.put(endpoint, Origin::Written, now),
            Change::Removed(id) | Change::Unreadable(id) => self.remove(&id, now),
        }
    }

    /// Returns whether the source has answered this daemon for long enough to tell others that
    /// registrations that have ended did not only lapse.
    #[must_use]
    pub fn vouches(&self, now: Instant) -> bool {
        let is_settled = |at: Instant| now.since(at) >= REREGISTRATION_TIME;
        !self.is_contact_lost(now) && self.listed_at.is_some_and(is_settled)
    }

    /// Records that the source answered a daemon that vouches for it, which read it at this time.
    pub fn source_vouched(&mut self, read_at: Instant) {
        let vouched = self.vouched.get_or_insert(Vouched {
            since: read_at,
            until: read_at,
        });
        if read_at.since(vouched.until) > VOUCH_GAP_MAX {
            vouched.since = read_at;
        }
        vouched.until = vouched.until.max(read_at);
    }

    /// Replaces all registrations by a complete listing. Returns the changes that affect placement.
    pub fn replace(&mut self, listed: Vec<Endpoint>, now: Instant) -> Vec<Change> {
        self.listed_at.get_or_insert(now);
        let is_copy = self.may_list_old_copy(now);
        let current: Vec<Endpoint> = listed
            .into_iter()
            .filter(|endpoint| !is_copy || !self.knows_later_start(endpoint))
            .collect();
        let missing = self.endpoints.keys();
        let missing = missing.filter(|id| !current.iter().any(|endpoint| endpoint.id == **id));
        let missing: Vec<Name> = missing.cloned().collect();
        let mut changes = Vec::new();
        for id in missing {
            if self.remove(&id, now) {
                changes.push(Change::Removed(id));
            }
        }
        for endpoint in current {
            let id = endpoint.id.clone();
            if self.put(endpoint, Origin::Listed, now) {
                changes.extend(self.get(&id).cloned().map(Change::Put));
            }
        }
        changes
    }

    /// Records that a response of an endpoint says that it leaves; `started_ms` is the start of the
    /// process to which the request was sent. Returns whether it is the first such response.
    pub fn record_said_leaving(
        &mut self,
        id: &Name,
        started_ms: Option<u64>,
        now: Instant,
    ) -> bool {
        let entry = self.endpoints.get_mut(id);
        if entry
            .as_ref()
            .is_some_and(|entry| entry.endpoint.started_ms > started_ms)
        {
            return false;
        }
        if let Some(entry) = entry {
            entry.endpoint.state = EndpointState::Draining;
        }
        let is_first = self.departures.record_said(id, started_ms, now);
        if is_first {
            self.said_changes += 1;
        }
        is_first
    }

    /// Returns the number of endpoints so far that said in a response that they leave.
    #[must_use]
    pub const fn said_changes(&self) -> u64 {
        self.said_changes
    }

    /// Returns what other daemons should learn of endpoints that said in a response that they
    /// leave: the latest ones.
    #[must_use]
    pub fn departure_reports(&self, now: Instant) -> Vec<DepartureReport> {
        let said = self.departures.said();
        let recent = said.filter(|(.., said_at)| now.since(*said_at) < REPORT_TIME);
        let mut reports: Vec<DepartureReport> = recent
            .map(|(id, started_ms, said_at)| DepartureReport {
                endpoint: id.clone(),
                started_ms,
                said_at,
            })
            .collect();
        reports.sort_by_key(|report| Reverse(report.said_at));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Returns the departures of which this daemon knows from responses or from other daemons,
    /// with the times of the responses.
    #[must_use]
    pub fn known_departures(&self, now: Instant) -> Vec<DepartureReport> {
        let mut reports = self.departure_reports(now);
        let reported = self.endpoints.values().filter_map(|entry| {
            let until = entry.reported_until.filter(|until| *until > now)?;
            Some(DepartureReport {
                endpoint: entry.endpoint.id.clone(),
                started_ms: entry.endpoint.started_ms,
                said_at: until - REPORT_TIME,
            })
        });
        for report in reported {
            if !reports.iter().any(|it| it.endpoint == report.endpoint) {
                reports.push(report);
            }
        }
        reports.sort_by_key(|report| Reverse(report.said_at));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Adds the reports of another daemon; their times are on this daemon's clock. Returns the
    /// endpoints that are not usable any more.
    ///
    /// Unlike what an endpoint says to this daemon, a report holds for a limited time.
    pub fn merge_departures(&mut self, reports: Vec<DepartureReport>, now: Instant) -> Vec<Name> {
        let mut changed = Vec::new();
        for report in reports.into_iter().take(REPORTS_MAX) {
            let until = report.said_at.min(now) + REPORT_TIME;
            let Some(entry) = self.endpoints.get_mut(&report.endpoint) else {
                continue;
            };
            if until <= now || entry.endpoint.started_ms != report.started_ms {
                continue;
            }
            let was_usable = entry.is_usable();
            entry.reported_until = entry.reported_until.max(Some(until));
            if was_usable {
                changed.push(report.endpoint);
            }
        }
        changed
    }

    /// Returns the endpoints whose departure other daemons have reported and that neither said it
    /// to this daemon nor registered it in time; they are usable again.
    pub fn expire_reports(&mut self, now: Instant) -> Vec<Name> {
        let mut expired = Vec::new();
        for (id, entry) in &mut self.endpoints {
            if entry.reported_until.is_some_and(|until| until <= now) {
                entry.reported_until = None;
                if entry.is_usable() {
                    expired.push(id.clone());
                }
            }
        }
        expired
    }

    /// Records that the source does not answer, or may not.
    pub fn source_lost(&mut self) {
        self.is_source_lost = true;
    }

    /// Records that the source answers, and that it did so all the while or was silent for too short
    /// a time for registrations to lapse.
    pub fn source_answered(&mut self) {
        self.is_source_lost = false;
    }

    /// Records that the source answers again after an outage in which registrations may have lapsed.
    pub fn source_restored(&mut self, now: Instant) {
        if self.is_source_lost {
            self.is_source_lost = false;
            self.source_restored = Some(now);
        }
    }

    /// Records that the source was rolled back to an older copy of the registrations, which those
    /// that were written since are missing in.
    pub fn source_rolled_back(&mut self, now: Instant) {
        self.is_source_lost = false;
        self.source_restored = Some(now);
        self.source_rolled_back = Some(now);
        self.vouched = None;
    }

    /// Removes and returns lapsed endpoints that have not registered again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let endpoints = &self.endpoints;
        self.departures.expire(now, |id| endpoints.contains_key(id));
        if self.is_source_unreliable(now) {
            return Vec::new();
        }
        let expired = self.with_status(Status::Lapsed);
        for id in &expired {
            self.end(id, now);
        }
        expired
    }

    /// Returns the endpoints that an older copy has listed again and that are still registered after
    /// the time in which the registration of a stopped one ends; they are usable from now on.
    pub fn confirm(&mut self, now: Instant) -> Vec<Name> {
        if self.may_list_old_copy(now) {
            return Vec::new();
        }
        let confirmed = self.with_status(Status::Unconfirmed);
        for id in &confirmed {
            if let Some(entry) = self.endpoints.get_mut(id) {
                entry.status = Status::Registered;
                self.departures.record_registration(&entry.endpoint);
            }
        }
        confirmed
    }

    fn put(&mut self, mut endpoint: Endpoint, origin: Origin, now: Instant) -> bool {
        let is_copy = origin == Origin::Listed && self.may_list_old_copy(now);
        if !is_copy {
            self.departures.record_registration(&endpoint);
        }
        let mut status = Status::Registered;
        match self.departures.standing(&endpoint) {
            Standing::Present => {}
            Standing::Leaving => endpoint.state = EndpointState::Draining,
            Standing::Ended => status = Status::Unconfirmed,
        }
        if endpoint.state == EndpointState::Draining {
            self.departures.record_draining(&endpoint, now);
        }
        let id = endpoint.id.clone();
        let known = self.endpoints.get(&id);
        let same_process = known.filter(|known| known.endpoint.started_ms == endpoint.started_ms);
        let entry = Entry {
            reported_until: same_process.and_then(|known| known.reported_until),
            endpoint,
            status,
        };
        let is_changed = known.is_none_or(|known| !known.is_equivalent(&entry));
        self.endpoints.insert(id, entry);
        is_changed
    }

    fn remove(&mut self, id: &Name, now: Instant) -> bool {
        let is_unreliable = self.is_source_unreliable(now);
        match self.endpoints.get_mut(id) {
            Some(entry) if is_unreliable && entry.is_usable() => {
                entry.status = Status::Lapsed;
                false
            }
            _ => self.end(id, now),
        }
    }

    /// Removes an endpoint, whose registration has ended; returns whether it was known.
    fn end(&mut self, id: &Name, now: Instant) -> bool {
        let Some(entry) = self.endpoints.remove(id) else {
            return false;
        };
        self.departures.record_end(&entry.endpoint, now);
        true
    }

    fn with_status(&self, status: Status) -> Vec<Name> {
        let entries = self.endpoints.iter();
        let matching = entries.filter(|(_, entry)| entry.status == status);
        matching.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a later start of the endpoint is known than its registration says.
    fn knows_later_start(&self, endpoint: &Endpoint) -> bool {
        let known = self.get(&endpoint.id).and_then(|known| known.started_ms);
        match (known, endpoint.started_ms) {
            (Some(known), Some(listed)) => known > listed,
            _ => false,
        }
    }

    /// Returns whether a registration may be missing only because of an outage of the source: the
    /// source does not answer, or endpoints have not had time to register again.
    fn is_source_unreliable(&self, now: Instant) -> bool {
        self.is_contact_lost(now) && !self.is_vouched(now)
    }

    /// Returns whether the source has answered other daemons all the while.
    fn is_vouched(&self, now: Instant) -> bool {
        self.vouched.is_some_and(|vouched| {
            now.since(vouched.until) <= VOUCH_GAP_MAX
                && vouched.until.since(vouched.since) >= REREGISTRATION_TIME
        })
    }

    /// Returns the same as [`Self::is_source_unreliable`] from this daemon's own calls.
    fn is_contact_lost(&self, now: Instant) -> bool {
        self.is_source_lost
            || self
                .source_restored
                .is_some_and(|restored_at| now.since(restored_at) < REREGISTRATION_TIME)
    }

    /// Returns whether a listing may contain registrations of endpoints that have stopped since an
    /// older copy was made.
    fn may_list_old_copy(&self, now: Instant) -> bool {
        self.source_rolled_back
            .is_some_and(|rolled_back_at| now.since(rolled_back_at) < OLD_REGISTRATION_TIME)
    }
}

impl Entry {
    fn is_usable(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
            && self.status != Status::Unconfirmed
            && self.reported_until.is_none()
    }

    /// Returns whether two registrations are equivalent for placement.
    fn is_equivalent(&self, new: &Self) -> bool {
        let (old_endpoint, new_endpoint) = (&self.endpoint, &new.endpoint);
        self.is_usable() == new.is_usable()
            && old_endpoint.service == new_endpoint.service
            && old_endpoint.address == new_endpoint.address
            && old_endpoint.state == new_endpoint.state
            && old_endpoint.stage == new_endpoint.stage
            && old_endpoint.started_ms == new_endpoint.started_ms
    }
}
