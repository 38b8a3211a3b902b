use std::time::Duration;

use crate::Instant;

use super::held::{Grant, Held};
use super::{Answer, Call, Holder, Lock, Moment, Tenure, Terms};

/// The control lease of one data centre, as one daemon sees it.
///
/// [`Lease::call`] says which call to make next and [`Lease::answer`] takes its outcome; there is
/// one call at a time. All lease time is counted from the sending of the call that renewed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    terms: Terms,
    jitter: Duration,
    own: Holder,
    candidate: bool,
    stage: Stage,
    calling: Option<(Call, Moment)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle {
        retry: Instant,
    },
    Vacant,
    Granted(Grant),
    /// The answer to the creation of the lock record was lost.
    LockUnknown(Grant),
    Locked {
        grant: Grant,
        revision: u64,
    },
    Succeeding {
        grant: Grant,
        revision: u64,
        previous: Option<(Tenure, u64)>,
    },
    Recording {
        grant: Grant,
        expect: u64,
        tenure: Tenure,
    },
    /// The answer to the first write of the tenure record was lost.
    RecordUnknown {
        grant: Grant,
        tenure: Tenure,
    },
    Held(Box<Held>),
    Revoking(u64),
}

impl Lease {
    /// Opens the state of the daemon `own`; `jitter` keeps candidates from calling in step.
    #[must_use]
    pub fn open(terms: Terms, own: Holder, jitter: Duration) -> Self {
        Self {
            terms,
            jitter,
            own,
            candidate: false,
            stage: Stage::Idle {
                retry: Instant::default() + jitter,
            },
            calling: None,
        }
    }

    /// Sets whether the daemon campaigns; a holder stays a holder.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Sets whether the daemon knows that the platform lists its VM.
    pub fn set_listed(&mut self, listed: bool) {
        self.own.listed = listed;
    }

    /// Tells whether the daemon holds authority; to be asked immediately before each order.
    #[must_use]
    pub fn is_held(&self, now: Moment) -> bool {
        match &self.stage {
            Stage::Held(held) => {
                !held.tenure.released
                    && held.change.as_ref().is_none_or(|change| !change.released)
                    && now.is_within(self.terms.usable(), held.grant.renewed)
            }
            _ => false,
        }
    }

    /// Returns the daemon's tenure while it holds authority.
    #[must_use]
    pub fn tenure(&self, now: Moment) -> Option<&Tenure> {
        match &self.stage {
            Stage::Held(held) if self.is_held(now) => Some(&held.tenure),
            _ => None,
        }
    }

    /// Tells whether an authority that was not given back has ended or was never held.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle { .. })
    }

    /// Removes former holders that are known to be gone from the tenure record.
    pub fn forget(&mut self, gone: &[Holder]) {
        if let Stage::Held(held) = &mut self.stage {
            let mut tenure = held.change.take().unwrap_or_else(|| held.tenure.clone());
            let is_gone = |former: &Holder| gone.iter().any(|holder| holder.is_same_run(former));
            tenure.formers.retain(|former| !is_gone(former));
            held.change = Some(tenure);
        }
    }

    /// Gives authority back for good; allowed only when no order is under way.
    pub fn release(&mut self) {
        self.candidate = false;
        if let Stage::Held(held) = &mut self.stage {
            let mut tenure = held.change.take().unwrap_or_else(|| held.tenure.clone());
            tenure.released = true;
            held.change = Some(tenure);
        }
    }

    /// Stops acting as holder at once, since a newer fencing token was seen.
    pub fn step_down(&mut self, now: Moment) {
        if let Stage::Held(_) = self.stage {
            self.stage = self.waiting(now);
        }
    }

    /// Returns the call to make at `now`, if one is due; its outcome goes to [`Lease::answer`].
    pub fn call(&mut self, now: Moment) -> Option<Call> {
        if self.calling.is_some() {
            return None;
        }
        self.expire(now);
        let call = self.due(now)?;
        self.calling = Some((call.clone(), now));
        Some(call)
    }

    fn due(&self, now: Moment) -> Option<Call> {
        match &self.stage {
            Stage::Idle { retry } => {
                (self.candidate && now.monotonic >= *retry).then_some(Call::ReadLock)
            }
            Stage::Vacant => Some(Call::Grant),
            Stage::Granted(grant) => Some(Call::Lock(self.lock(grant.lease))),
            Stage::LockUnknown(_) => Some(Call::ReadLock),
            Stage::Locked { .. } | Stage::RecordUnknown { .. } => Some(Call::ReadTenure),
            Stage::Succeeding { .. } => Some(Call::Survey),
            Stage::Recording { expect, tenure, .. } => Some(Call::Record {
                expect: *expect,
                tenure: tenure.clone(),
            }),
            Stage::Held(held) => held.due(now),
            Stage::Revoking(lease) => Some(Call::Revoke(*lease)),
        }
    }

    /// Takes the outcome of the call that [`Lease::call`] returned.
    pub fn answer(&mut self, answer: Answer, now: Moment) {
        let Some((call, sent)) = self.calling.take() else {
            return;
        };
        self.expire(now);
        let waiting = self.waiting(now);
        let stage = std::mem::replace(&mut self.stage, waiting);
        self.stage = self.advance(stage, &call, sent, answer, now);
        self.expire(now);
    }

    fn advance(
        &self,
        stage: Stage,
        call: &Call,
        sent: Moment,
        answer: Answer,
        now: Moment,
    ) -> Stage {
        match (stage, answer) {
            (Stage::Idle { .. }, Answer::Lock(None)) if *call == Call::ReadLock => Stage::Vacant,
            (Stage::Vacant, Answer::Granted(lease)) => Stage::Granted(Grant {
                lease,
                renewed: sent,
            }),
            (Stage::Granted(grant), Answer::Written(revision)) => Stage::Locked { grant, revision },
            (Stage::Granted(grant), Answer::Lost) => Stage::LockUnknown(grant),
            (Stage::LockUnknown(grant), Answer::Lock(Some((lock, revision))))
                if self.is_own(&lock, grant.lease) =>
            {
                Stage::Locked { grant, revision }
            }
            (Stage::Locked { grant, revision }, Answer::Tenure(previous)) => Stage::Succeeding {
                grant,
                revision,
                previous,
            },
            (
                Stage::Succeeding {
                    grant,
                    revision,
                    previous,
                },
                Answer::Surveyed(highest),
            ) => {
                let expect = previous.as_ref().map_or(0, |(_, revision)| *revision);
                let previous = previous.as_ref().map(|(tenure, _)| tenure);
                let tenure = Tenure::after(previous, &self.own, revision, highest);
                Stage::Recording {
                    grant,
                    expect,
                    tenure,
                }
            }
            (Stage::Recording { grant, tenure, .. }, Answer::Written(revision)) => {
                self.hold(grant, tenure, revision)
            }
            (Stage::Recording { grant, tenure, .. }, Answer::Lost) => {
                Stage::RecordUnknown { grant, tenure }
            }
            (Stage::RecordUnknown { grant, tenure }, Answer::Tenure(Some((found, revision))))
                if found == tenure =>
            {
                self.hold(grant, tenure, revision)
            }
            (Stage::Held(held), answer) => self.keep(*held, call, sent, answer, now),
            (Stage::Revoking(_), _) => Stage::Idle {
                retry: now.monotonic + self.terms.ttl,
            },
            _ => self.waiting(now),
        }
    }

    fn keep(
        &self,
        mut held: Held,
        call: &Call,
        sent: Moment,
        answer: Answer,
        now: Moment,
    ) -> Stage {
        let answer_is_open = matches!(answer, Answer::Lost | Answer::Conflict);
        match (call, answer) {
            (Call::KeepAlive(_), Answer::Done) => held.unverified = Some(sent),
            (Call::KeepAlive(_), Answer::Failed | Answer::Lost) => {
                held.renew_at = now.monotonic + self.terms.renewal / 4;
            }
            (Call::ReadLock, Answer::Lock(Some((lock, _))))
                if self.is_own(&lock, held.grant.lease) =>
            {
                held.verified(&self.terms);
            }
            (Call::ReadLock, Answer::Failed | Answer::Lost) => {
                held.unverified = None;
                held.renew_at = now.monotonic + self.terms.renewal / 4;
            }
            (Call::Record { tenure, .. }, Answer::Written(revision)) => {
                held.recorded(tenure, revision);
            }
            // A change of the record can wait, so a busy platform does not end the tenure.
            (Call::Record { .. }, Answer::Failed | Answer::Lost | Answer::Conflict) => {
                held.record_unknown |= answer_is_open;
                held.record_at = now.monotonic + self.terms.renewal / 4;
            }
            (Call::ReadTenure, Answer::Failed | Answer::Lost) => {
                held.record_at = now.monotonic + self.terms.renewal / 4;
            }
            (Call::ReadTenure, Answer::Tenure(Some((found, revision))))
                if found.holder == held.tenure.holder && found.fence == held.tenure.fence =>
            {
                held.record_unknown = false;
                held.recorded(&found, revision);
            }
            _ => return self.waiting(now),
        }
        if held.tenure.released {
            return Stage::Revoking(held.grant.lease);
        }
        Stage::Held(Box::new(held))
    }

    fn hold(&self, grant: Grant, tenure: Tenure, revision: u64) -> Stage {
        Stage::Held(Box::new(Held {
            grant,
            tenure,
            revision,
            renew_at: grant.renewed.monotonic + self.terms.renewal,
            unverified: None,
            change: None,
            record_unknown: false,
            record_at: Instant::default(),
        }))
    }

    fn expire(&mut self, now: Moment) {
        let renewed = match &self.stage {
            Stage::Granted(grant)
            | Stage::LockUnknown(grant)
            | Stage::Locked { grant, .. }
            | Stage::Succeeding { grant, .. }
            | Stage::Recording { grant, .. }
            | Stage::RecordUnknown { grant, .. } => grant.renewed,
            Stage::Held(held) => held.grant.renewed,
            Stage::Idle { .. } | Stage::Vacant | Stage::Revoking(_) => return,
        };
        if !now.is_within(self.terms.usable(), renewed) {
            self.stage = self.waiting(now);
        }
    }

    /// Another daemon's lease, or a lock record of this one, ends within a TTL.
    fn waiting(&self, now: Moment) -> Stage {
        Stage::Idle {
            retry: now.monotonic + self.terms.ttl + self.jitter,
        }
    }

    /// Tells whether a lock record is the one that this run wrote with `lease`.
    ///
    /// Whether the platform lists the VM may have become known since, so it is not compared.
    fn is_own(&self, lock: &Lock, lease: u64) -> bool {
        lock.lease == lease && lock.holder.is_same_run(&self.own)
    }

    fn lock(&self, lease: u64) -> Lock {
        Lock {
            holder: self.own.clone(),
            lease,
        }
    }
}
