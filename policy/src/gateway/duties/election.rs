use std::time::Duration;

use crate::Instant;
use crate::authority::{Answer, Call, Holder, HolderRecord, Lease, Timestamp};

use super::{Timing, is_valid_token, token_floor};

/// Number of former holders that the record keeps.
const FORMER_HOLDERS_MAX: usize = 8;

/// Election of the daemon that makes duty calls, as seen by one daemon.
///
/// It runs a [`Lease`] and decides from when a new holder acts: once the calls of its predecessor must
/// have arrived, and, if it was a holder before, once the predecessor's last action is long enough ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Election {
    timing: Timing,
    lease: Lease,
    own: Holder,
    started_at: Instant,
    /// Number of restores of the store that were noticed.
    restores: u64,
    era: Option<u64>,
    /// Lock that was last read, and the number of restores at that time.
    seen: Option<(Holder, u64)>,
    /// Holder record that preceded the own one.
    previous: Option<HolderRecord>,
    /// Whether this daemon let the others go first since the lock became free.
    has_deferred: bool,
    /// Number of restores at the begin of the last tenure of this process.
    last_tenure: Option<u64>,
    /// Token and begin of the present tenure.
    tenure: Option<(u64, Instant)>,
    highest_token: u64,
}

impl Election {
    /// Starts as a daemon that is no candidate; different values of `jitter` keep candidates from
    /// calling at the same time.
    #[must_use]
    pub fn open(timing: Timing, own: Holder, jitter: Duration, now: Instant) -> Self {
        Self {
            timing,
            lease: Lease::open(timing.lease, own.clone(), jitter),
            own,
            started_at: now,
            restores: 0,
            era: None,
            seen: None,
            previous: None,
            has_deferred: false,
            last_tenure: None,
            tenure: None,
            highest_token: 0,
        }
    }

    /// Sets whether the daemon tries to become the holder.
    pub fn set_candidate(&mut self, is_candidate: bool) {
        self.lease.set_candidate(is_candidate);
    }

    /// Sets what is known of the store: the number of restores that were noticed, and its era.
    pub fn set_store(&mut self, restores: u64, era: Option<u64>) {
        self.restores = restores;
        self.era = era;
    }

    /// Records a token that another daemon named.
    pub fn observe_token(&mut self, token: u64) {
        if is_valid_token(token) {
            self.highest_token = self.highest_token.max(token);
        }
    }

    /// Returns the highest token that this daemon knows of.
    #[must_use]
    pub const fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Returns the daemon that last held the lock when it was read.
    #[must_use]
    pub fn seen_holder(&self) -> Option<&Holder> {
        self.seen.as_ref().map(|(holder, _)| holder)
    }

    /// Returns the call to the store that is due, if any.
    pub fn next_call(&mut self, now: Timestamp) -> Option<Call> {
        self.update_tenure(now);
        self.lease.next_call(now)
    }

    /// Returns the token above which the next one must be.
    #[must_use]
    pub fn token_floor(&self, now: Timestamp) -> u64 {
        self.highest_token.max(token_floor(self.era, now.unix_ms))
    }

    /// Processes the outcome of the call that [`Self::next_call`] returned.
    pub fn handle_answer(&mut self, answer: Answer, now: Timestamp) {
        let answer = match answer {
            Answer::Lock(lock) => self.observe_lock(lock),
            Answer::HolderRecord(Some((record, revision))) => {
                Answer::HolderRecord(Some((self.observe_record(record), revision)))
            }
            Answer::HolderRecord(None) => {
                self.previous = None;
                Answer::HolderRecord(None)
            }
            other => other,
        };
        self.lease.handle_answer(answer, now);
        self.update_tenure(now);
    }

    fn observe_lock(&mut self, lock: Option<(crate::authority::LockRecord, u64)>) -> Answer {
        if let Some((lock, revision)) = lock {
            if !lock.holder.is_same_run(&self.own) {
                self.seen = Some((lock.holder.clone(), self.restores));
                self.has_deferred = false;
            }
            return Answer::Lock(Some((lock, revision)));
        }
        // A former holder has to wait before it acts, so the other candidates go first.
        if self.last_tenure.is_some() && !self.has_deferred && self.lease.is_idle() {
            self.has_deferred = true;
            return Answer::Failed;
        }
        Answer::Lock(None)
    }

    fn observe_record(&mut self, mut record: HolderRecord) -> HolderRecord {
        if record.holder.is_same_run(&self.own) && self.lease.is_record_unknown() {
            return record;
        }
        self.previous = Some(record.clone());
        let surplus = record
            .former_holders
            .len()
            .saturating_sub(FORMER_HOLDERS_MAX);
        record.former_holders.drain(..surplus);
        record
    }

    fn update_tenure(&mut self, now: Timestamp) {
        let token = self.lease.holder_record(now).map(|record| record.fence);
        if self.tenure.map(|(known, _)| known) == token {
            return;
        }
        self.tenure = token.map(|token| (token, now.monotonic + self.initial_wait(now.monotonic)));
        if let Some(token) = token {
            self.observe_token(token);
            self.last_tenure = Some(self.restores);
            self.has_deferred = false;
        }
    }

    /// Returns the time for which a new holder does not act.
    fn initial_wait(&self, now: Instant) -> Duration {
        let full_wait = self.timing.lease.takeover_wait;
        let Some(previous) = &self.previous else {
            // A restore may have lost the record of other holders.
            let former_wait = self.last_tenure.map(|_| self.timing.lease_time);
            return full_wait.max(former_wait.unwrap_or_default());
        };
        // The end of the predecessor's lock shows that its lease has ended, unless the store was
        // restored in between.
        let is_end_seen = self.era.is_some()
            && self.seen.as_ref().is_some_and(|(holder, restores)| {
                holder.is_same_run(&previous.holder) && *restores == self.restores
            });
        let wait = if is_end_seen {
            self.timing.call_timeout
        } else {
            full_wait
        };
        let is_own = |holder: &Holder| holder.daemon == self.own.daemon;
        let has_just_started = now.since(self.started_at) < self.timing.lease_time * 2;
        let may_have_acted = self.last_tenure.is_some()
            || has_just_started
            || previous.former_holders.iter().any(is_own);
        // After a restore the record may lack a holder that acted in between.
        let was_last = previous.holder.is_same_run(&self.own)
            && self.era.is_some()
            && self.last_tenure == Some(self.restores);
        if may_have_acted && !was_last {
            return wait.max(self.timing.lease_time);
        }
        wait
    }

    /// Returns the token with which the daemon may act now, and since when; must be checked immediately
    /// before each call.
    #[must_use]
    pub fn tenure(&self, now: Timestamp) -> Option<(u64, Instant)> {
        let (token, since) = self.tenure?;
        let is_allowed = self.lease.is_held(now) && now.monotonic >= since && is_valid_token(token);
        is_allowed.then_some((token, since))
    }

    /// Returns whether the daemon holds the lease, although it may not act yet.
    #[must_use]
    pub fn is_held(&self, now: Timestamp) -> bool {
        self.lease.is_held(now)
    }

    /// Returns the revision of the holder record, on which writes of the holder are conditional.
    #[must_use]
    pub fn record_revision(&self, now: Timestamp) -> Option<u64> {
        self.lease.record_revision(now)
    }

    /// Returns whether the present tenure is the first one that the store has a record of.
    #[must_use]
    pub const fn is_first_holder(&self) -> bool {
        self.previous.is_none()
    }

    /// Returns whether the lease is neither held nor being acquired or released.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.lease.is_idle()
    }

    /// Gives up the lease because a higher token was seen.
    pub fn step_down(&mut self, now: Timestamp) {
        self.lease.step_down(now);
        self.update_tenure(now);
    }

    /// Releases the lease for a drain; allowed only while no duty call is in flight.
    pub fn release(&mut self) {
        self.lease.release();
    }
}
