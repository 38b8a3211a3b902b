use crate::Instant;

use super::{Call, Moment, Tenure, Terms};

/// A platform lease and the sending of the call that renewed it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Grant {
    pub(super) lease: u64,
    pub(super) renewed: Moment,
}

/// The lease while its daemon holds authority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Held {
    pub(super) grant: Grant,
    pub(super) tenure: Tenure,
    pub(super) revision: u64,
    pub(super) renew_at: Instant,
    /// A renewal that counts once the lock record is known to be there still.
    pub(super) unverified: Option<Moment>,
    /// A change of the tenure record that is not written yet.
    pub(super) change: Option<Tenure>,
    /// The answer to the last write of the tenure record was lost.
    pub(super) record_unknown: bool,
    /// When the tenure record is tried again after a failed call.
    pub(super) record_at: Instant,
}

impl Held {
    pub(super) fn due(&self, now: Moment) -> Option<Call> {
        if self.unverified.is_some() {
            return Some(Call::ReadLock);
        }
        if now.monotonic >= self.renew_at {
            return Some(Call::KeepAlive(self.grant.lease));
        }
        if now.monotonic < self.record_at {
            return None;
        }
        if self.record_unknown {
            return Some(Call::ReadTenure);
        }
        self.change.clone().map(|tenure| Call::Record {
            expect: self.revision,
            tenure,
        })
    }

    pub(super) fn verified(&mut self, terms: &Terms) {
        if let Some(renewed) = self.unverified.take() {
            self.grant.renewed = renewed;
            self.renew_at = renewed.monotonic + terms.renewal;
        }
    }

    pub(super) fn recorded(&mut self, tenure: &Tenure, revision: u64) {
        self.revision = revision;
        self.tenure = tenure.clone();
        if self.change.as_ref() == Some(tenure) {
            self.change = None;
        }
    }
}
