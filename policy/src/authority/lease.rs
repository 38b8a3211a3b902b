use std::time::Duration;

use crate::Instant;

use super::held_lease::{Grant, HeldLease};
use super::{Answer, Call, Holder, HolderRecord, LeaseTiming, LockRecord, Timestamp};

/// State machine by which one daemon acquires, renews and releases the control lease of its data
/// centre.
///
/// [`Lease::next_call`] returns the next call to make and [`Lease::handle_answer`] processes its
/// outcome; at most one call is in flight. Lease time is counted from when the call that renewed
/// the lease was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    timing: LeaseTiming,
    jitter: Duration,
    own: Holder,
    is_candidate: bool,
    stage: Stage,
    in_flight: Option<(Call, Timestamp)>,
}

/// Progress of acquiring, holding and releasing the lease.
///
/// The stages from [`Stage::Granted`] to [`Stage::Held`] end when the platform lease may have
/// expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// A candidate reads the lock record from `retry_at` on.
    Idle {
        retry_at: Instant,
    },
    /// There is no lock record; a platform lease is opened next.
    LockFree,
    /// The platform lease is open; the lock record is created next.
    Granted(Grant),
    /// The answer to the call that creates the lock record was lost.
    LockUnknown(Grant),
    /// The lock record exists with this revision; the holder record is read next.
    Locked {
        grant: Grant,
        revision: u64,
    },
    /// The holder record was read; the engines are asked for their highest fencing token next.
    QueryingFences {
        grant: Grant,
        /// Revision of the lock record.
        revision: u64,
        /// Holder record of the previous holder, with its revision.
        previous: Option<(HolderRecord, u64)>,
    },
    /// The new holder record is written next; the lease is held once that has succeeded.
    WritingRecord {
        grant: Grant,
        expect: u64,
        record: HolderRecord,
    },
    /// The answer to the first write of the holder record was lost.
    RecordUnknown {
        grant: Grant,
        record: HolderRecord,
    },
    Held(Box<HeldLease>),
    /// The release is recorded; the platform lease is ended next.
    Revoking(u64),
}

impl Lease {
    /// Creates the lease state of the daemon `own`; different values of `jitter` keep candidates
    /// from calling at the same time.
    #[must_use]
    pub fn open(timing: LeaseTiming, own: Holder, jitter: Duration) -> Self {
        Self {
            timing,
            jitter,
            own,
            is_candidate: false,
            stage: Stage::Idle {
                retry_at: Instant::default() + jitter,
            },
            in_flight: None,
        }
    }

    /// Sets whether the daemon tries to acquire the lease; a lease that it holds is kept.
    pub fn set_candidate(&mut self, is_candidate: bool) {
        self.is_candidate = is_candidate;
    }

    /// Sets whether the platform is known to list the daemon's VM.
    pub fn set_listed(&mut self, listed: bool) {
        self.own.listed = listed;
    }

    /// Returns whether the daemon holds the lease; must be checked immediately before each order is
    /// sent.
    #[must_use]
    pub fn is_held(&self, now: Timestamp) -> bool {
        match &self.stage {
            Stage::Held(held) => {
                !held.record.released
                    && held
                        .pending_record
                        .as_ref()
                        .is_none_or(|pending_record| !pending_record.released)
                    && now.is_within(self.timing.effective_ttl(), held.grant.renewed_at)
            }
            _ => false,
        }
    }

    /// Returns the daemon's holder record while it holds the lease.
    #[must_use]
    pub fn holder_record(&self, now: Timestamp) -> Option<&HolderRecord> {
        match &self.stage {
            Stage::Held(held) if self.is_held(now) => Some(&held.record),
            _ => None,
        }
    }

    /// Returns the revision of the stored holder record while the daemon holds the lease; a write
    /// conditional on it fails once another daemon has acquired the lease.
    #[must_use]
    pub fn record_revision(&self, now: Timestamp) -> Option<u64> {
        match &self.stage {
            Stage::Held(held) if self.is_held(now) => Some(held.revision),
            _ => None,
        }
    }

    /// Returns whether the lease is neither held nor being acquired or released.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle { .. })
    }

    /// Returns whether the outcome of a write of the holder record is unknown, so that a read of it
    /// decides.
    #[must_use]
    pub fn is_record_unknown(&self) -> bool {
        match &self.stage {
            Stage::RecordUnknown { .. } => true,
            Stage::Held(held) => held.is_record_unknown,
            _ => false,
        }
    }

    /// Removes former holders that are known to be gone from the holder record.
    pub fn remove_former_holders(&mut self, gone: &[Holder]) {
        if let Stage::Held(held) = &mut self.stage {
            let mut record = held
                .pending_record
                .take()
                .unwrap_or_else(|| held.record.clone());
            let is_gone = |former: &Holder| gone.iter().any(|holder| holder.is_same_run(former));
            record.former_holders.retain(|former| !is_gone(former));
            held.pending_record = Some(record);
        }
    }

    /// Ends the candidacy, and releases the lease if it is held; allowed only while no order is in
    /// flight. An acquisition in progress continues.
    ///
    /// A released lease counts as not held from now on, before the release is recorded.
    pub fn release(&mut self) {
        self.is_candidate = false;
        if let Stage::Held(held) = &mut self.stage {
            let mut record = held
                .pending_record
                .take()
                .unwrap_or_else(|| held.record.clone());
            record.released = true;
            held.pending_record = Some(record);
        }
    }

    /// Gives up the lease without a call to the platform; called when a newer fencing token was
    /// seen.
    pub fn step_down(&mut self, now: Timestamp) {
        if let Stage::Held(_) = self.stage {
            self.stage = self.back_off(now);
        }
    }

    /// Returns the call to make at `now`, if one is due; its outcome is passed to
    /// [`Lease::handle_answer`].
    pub fn next_call(&mut self, now: Timestamp) -> Option<Call> {
        if self.in_flight.is_some() {
            return None;
        }
        self.expire(now);
        let call = self.due_call(now)?;
        self.in_flight = Some((call.clone(), now));
        Some(call)
    }

    fn due_call(&self, now: Timestamp) -> Option<Call> {
        match &self.stage {
            Stage::Idle { retry_at } => {
                (self.is_candidate && now.monotonic >= *retry_at).then_some(Call::ReadLock)
            }
            Stage::LockFree => Some(Call::OpenLease),
            Stage::Granted(grant) => Some(Call::CreateLock(self.lock_record(grant.lease))),
            Stage::LockUnknown(_) => Some(Call::ReadLock),
            Stage::Locked { .. } | Stage::RecordUnknown { .. } => Some(Call::ReadRecord),
            Stage::QueryingFences { .. } => Some(Call::QueryFences),
            Stage::WritingRecord { expect, record, .. } => Some(Call::WriteRecord {
                expect: *expect,
                record: record.clone(),
            }),
            Stage::Held(held) => held.due_call(now),
            Stage::Revoking(lease) => Some(Call::Revoke(*lease)),
        }
    }

    /// Processes the outcome of the call that [`Lease::next_call`] returned.
    pub fn handle_answer(&mut self, answer: Answer, now: Timestamp) {
        let Some((call, sent_at)) = self.in_flight.take() else {
            return;
        };
        self.expire(now);
        let idle = self.back_off(now);
        let stage = std::mem::replace(&mut self.stage, idle);
        self.stage = self.advance(stage, &call, sent_at, answer, now);
        self.expire(now);
    }

    /// Returns the stage that follows `stage` after `answer` to `call`, which was sent at
    /// `sent_at`.
    fn advance(
        &self,
        stage: Stage,
        call: &Call,
        sent_at: Timestamp,
        answer: Answer,
        now: Timestamp,
    ) -> Stage {
        match (stage, answer) {
            (Stage::Idle { .. }, Answer::Lock(None)) if *call == Call::ReadLock => Stage::LockFree,
            (Stage::LockFree, Answer::Granted(lease)) => Stage::Granted(Grant {
                lease,
                renewed_at: sent_at,
            }),
            (Stage::Granted(grant), Answer::Written(revision)) => Stage::Locked { grant, revision },
            (Stage::Granted(grant), Answer::Lost) => Stage::LockUnknown(grant),
            (Stage::LockUnknown(grant), Answer::Lock(Some((lock, revision))))
                if self.is_own_lock(&lock, grant.lease) =>
            {
                Stage::Locked { grant, revision }
            }
            (Stage::Locked { grant, revision }, Answer::HolderRecord(previous)) => {
                Stage::QueryingFences {
                    grant,
                    revision,
                    previous,
                }
            }
            (
                Stage::QueryingFences {
                    grant,
                    revision,
                    previous,
                },
                Answer::HighestFence(highest),
            ) => {
                let expect = previous.as_ref().map_or(0, |(_, revision)| *revision);
                let previous = previous.as_ref().map(|(record, _)| record);
                let record = HolderRecord::after(previous, &self.own, revision, highest);
                Stage::WritingRecord {
                    grant,
                    expect,
                    record,
                }
            }
            (Stage::WritingRecord { grant, record, .. }, Answer::Written(revision)) => {
                self.acquire(grant, record, revision)
            }
            (Stage::WritingRecord { grant, record, .. }, Answer::Lost) => {
                Stage::RecordUnknown { grant, record }
            }
            (
                Stage::RecordUnknown { grant, record },
                Answer::HolderRecord(Some((found, revision))),
            ) if found == record => self.acquire(grant, record, revision),
            (Stage::Held(held), answer) => self.advance_held(*held, call, sent_at, answer, now),
            (Stage::Revoking(_), _) => Stage::Idle {
                retry_at: now.monotonic + self.timing.ttl,
            },
            _ => self.back_off(now),
        }
    }

    fn advance_held(
        &self,
        mut held: HeldLease,
        call: &Call,
        sent_at: Timestamp,
        answer: Answer,
        now: Timestamp,
    ) -> Stage {
        let is_outcome_unknown = matches!(answer, Answer::Lost | Answer::Conflict);
        match (call, answer) {
            (Call::KeepAlive(_), Answer::Done) => held.unverified_renewal = Some(sent_at),
            (Call::KeepAlive(_), Answer::Failed | Answer::Lost) => {
                held.renew_at = now.monotonic + self.timing.renew_interval / 4;
            }
            (Call::ReadLock, Answer::Lock(Some((lock, _))))
                if self.is_own_lock(&lock, held.grant.lease) =>
            {
                held.confirm_renewal(&self.timing);
            }
            (Call::ReadLock, Answer::Failed | Answer::Lost) => {
                held.unverified_renewal = None;
                held.renew_at = now.monotonic + self.timing.renew_interval / 4;
            }
            (Call::WriteRecord { record, .. }, Answer::Written(revision)) => {
                held.record_written(record, revision);
            }
            // A change of the record can be retried, so an overloaded platform does not end the
            // lease.
            (Call::WriteRecord { .. }, Answer::Failed | Answer::Lost | Answer::Conflict) => {
                held.is_record_unknown |= is_outcome_unknown;
                held.retry_record_at = now.monotonic + self.timing.renew_interval / 4;
            }
            (Call::ReadRecord, Answer::Failed | Answer::Lost) => {
                held.retry_record_at = now.monotonic + self.timing.renew_interval / 4;
            }
            (Call::ReadRecord, Answer::HolderRecord(Some((found, revision))))
                if found.holder == held.record.holder && found.fence == held.record.fence =>
            {
                held.is_record_unknown = false;
                held.record_written(&found, revision);
            }
            _ => return self.back_off(now),
        }
        if held.record.released {
            return Stage::Revoking(held.grant.lease);
        }
        Stage::Held(Box::new(held))
    }

    fn acquire(&self, grant: Grant, record: HolderRecord, revision: u64) -> Stage {
        Stage::Held(Box::new(HeldLease {
            grant,
            record,
            revision,
            renew_at: grant.renewed_at.monotonic + self.timing.renew_interval,
            unverified_renewal: None,
            pending_record: None,
            is_record_unknown: false,
            retry_record_at: Instant::default(),
        }))
    }

    /// Backs off when the platform lease may have expired, that is, when the effective TTL has
    /// passed since its last renewal was sent.
    fn expire(&mut self, now: Timestamp) {
        let renewed_at = match &self.stage {
            Stage::Granted(grant)
            | Stage::LockUnknown(grant)
            | Stage::Locked { grant, .. }
            | Stage::QueryingFences { grant, .. }
            | Stage::WritingRecord { grant, .. }
            | Stage::RecordUnknown { grant, .. } => grant.renewed_at,
            Stage::Held(held) => held.grant.renewed_at,
            Stage::Idle { .. } | Stage::LockFree | Stage::Revoking(_) => return,
        };
        if !now.is_within(self.timing.effective_ttl(), renewed_at) {
            self.stage = self.back_off(now);
        }
    }

    /// Returns an idle stage of the retry interval and the jitter, in which another daemon's lease or
    /// an earlier lock record of this daemon may expire.
    fn back_off(&self, now: Timestamp) -> Stage {
        Stage::Idle {
            retry_at: now.monotonic + self.timing.retry_interval + self.jitter,
        }
    }

    /// Returns whether this run of the daemon wrote the lock record with `lease`.
    ///
    /// `listed` is not compared, since it may have changed after the record was written.
    fn is_own_lock(&self, lock: &LockRecord, lease: u64) -> bool {
        lock.lease == lease && lock.holder.is_same_run(&self.own)
    }

    fn lock_record(&self, lease: u64) -> LockRecord {
        LockRecord {
            holder: self.own.clone(),
            lease,
        }
    }
}
