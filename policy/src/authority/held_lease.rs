use crate::Instant;

use super::{Call, HolderRecord, LeaseTiming, Timestamp};

/// A platform lease and the time at which the call that last renewed it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Grant {
    pub(super) lease: u64,
    pub(super) renewed_at: Timestamp,
}

/// State of a lease that this daemon holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldLease {
    pub(super) grant: Grant,
    /// The stored holder record.
    pub(super) record: HolderRecord,
    /// Revision of the stored holder record.
    pub(super) revision: u64,
    pub(super) renew_at: Instant,
    /// Send time of a renewal that takes effect once a read confirms that the lock record still
    /// exists.
    pub(super) unverified_renewal: Option<Timestamp>,
    /// New value of the holder record that is not written yet.
    pub(super) pending_record: Option<HolderRecord>,
    /// The outcome of the last write of the holder record is unknown.
    pub(super) is_record_unknown: bool,
    /// Earliest time of the next call for the holder record, after a failed one.
    pub(super) retry_record_at: Instant,
}

impl HeldLease {
    /// Returns the call that is due, the renewal of the lease first.
    pub(super) fn due_call(&self, now: Timestamp) -> Option<Call> {
        if self.unverified_renewal.is_some() {
            return Some(Call::ReadLock);
        }
        if now.monotonic >= self.renew_at {
            return Some(Call::KeepAlive(self.grant.lease));
        }
        if now.monotonic < self.retry_record_at {
            return None;
        }
        if self.is_record_unknown {
            return Some(Call::ReadRecord);
        }
        self.pending_record.clone().map(|record| Call::WriteRecord {
            expect: self.revision,
            record,
        })
    }

    /// Counts the lease from the renewal that a read of the lock record has confirmed.
    pub(super) fn confirm_renewal(&mut self, timing: &LeaseTiming) {
        if let Some(renewed_at) = self.unverified_renewal.take() {
            self.grant.renewed_at = renewed_at;
            self.renew_at = renewed_at.monotonic + timing.renew_interval;
        }
    }

    /// Records that the stored holder record is `record`, at `revision`.
    pub(super) fn record_written(&mut self, record: &HolderRecord, revision: u64) {
        self.revision = revision;
        self.record = record.clone();
        if self.pending_record.as_ref() == Some(record) {
            self.pending_record = None;
        }
    }
}
