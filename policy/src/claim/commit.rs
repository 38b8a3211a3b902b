use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ragwortgrade_schema::platform;

use super::owner::{Moment, Waiting};
use super::table::Found;
use super::{Answer, Ask, Batch, Call, Hash, Head, Outcome, Owner, Record, Result};
use crate::Instant;

/// Time between two writes of a shard: 20 writes/s (design section 5.2).
const COMMIT_PERIOD: Duration = Duration::from_millis(50);
/// Bound of a batch's value, well below the service's 1 MB.
const BATCH_BYTES_MAX: usize = 256 * 1_024;
/// Bytes of a record without an answer's body, rounded up.
const RECORD_BYTES: usize = 320;
/// Time between two looks at the end of an idle shard's log.
const TAIL_PERIOD: Duration = Duration::from_secs(2);

/// A batch on its way into the log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Commit {
    sequence: u64,
    batch: Batch,
    value: String,
    waiters: Vec<Waiting>,
    state: State,
    /// Number of records, from the first, that are written again after a loss.
    relogged: usize,
    /// A write of this batch may have taken effect, so the sequence cannot be given up.
    may_be_written: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Write,
    /// Another value may have the sequence, or the answer of the write was lost.
    ReadBack,
    /// The batch is written; the end of the log shows whether it counts.
    Verify,
}

/// What a list of the end of the log shows.
pub(super) struct Tail {
    pub(super) batches: Vec<Seen>,
    pub(super) head: Option<(Head, u64)>,
}

/// A sequence as the service holds it.
pub(super) struct Seen {
    pub(super) sequence: u64,
    pub(super) revision: u64,
    pub(super) batch: Batch,
}

impl Owner {
    /// Puts what waits into a batch, once the last write is long enough ago.
    pub(super) fn start_commit(&mut self, at: Moment) {
        let is_due = self
            .committed
            .is_none_or(|last| at.now.since(last) >= COMMIT_PERIOD);
        if !is_due || (self.waiting.is_empty() && self.relog.is_empty()) {
            return;
        }
        let (relogged, records, waiters) = self.fill(at);
        if records.is_empty() {
            return;
        }
        self.batches += 1;
        let batch = Batch {
            owner: self.name.clone(),
            incarnation: self.incarnation,
            number: self.batches,
            records,
        };
        let Ok(value) = serde_json::to_string(&batch) else {
            return;
        };
        self.committed = Some(at.now);
        self.commit = Some(Commit {
            sequence: self.next,
            batch,
            value,
            waiters,
            relogged,
            state: State::Write,
            may_be_written: false,
        });
    }

    pub(super) fn commit_call(&self) -> Option<Call> {
        let commit = self.commit.as_ref()?;
        let key = self.keys.sequence(commit.sequence);
        Some(match commit.state {
            State::Write => Call::Write(platform::Write {
                key,
                value: Some(commit.value.clone()),
                expect: 0,
                lease: None,
            }),
            State::ReadBack => Call::Read(key),
            State::Verify => self.list_from(commit.sequence.saturating_sub(1)),
        })
    }

    pub(super) fn committed(&mut self, result: Result, at: Moment) {
        let Some(commit) = &mut self.commit else {
            return;
        };
        match (commit.state, result) {
            (State::Write, Result::Written(_)) => commit.state = State::Verify,
            (State::Write, Result::Conflict) => commit.state = State::ReadBack,
            (State::Write, Result::Lost) => {
                commit.may_be_written = true;
                commit.state = State::ReadBack;
            }
            (State::Write, Result::NotDone) if !commit.may_be_written => self.abort_commit(),
            // Not there yet: a lost write may still arrive, so the same batch is written again.
            (State::ReadBack, Result::Read(None)) => commit.state = State::Write,
            (State::ReadBack, Result::Read(Some((value, _)))) => {
                if parse(&value).is_some_and(|batch| batch.is(&commit.batch)) {
                    commit.state = State::Verify;
                } else {
                    // Another owner was first: its records count before anything of this batch.
                    self.abort_commit();
                    self.seen_tail = Instant::default();
                }
            }
            (State::Verify, Result::Listed(entries)) => self.verify(&entries, at),
            _ => {}
        }
    }

    /// Decides whether a written batch counts, by what the end of the log shows.
    fn verify(&mut self, entries: &[platform::Entry], at: Moment) {
        let tail = self.parse_tail(entries);
        if !self.check_tail(&tail) {
            return;
        }
        let Some(commit) = self.commit.take() else {
            return;
        };
        let found = tail
            .batches
            .iter()
            .find(|seen| seen.sequence == commit.sequence);
        if found.is_some_and(|seen| seen.batch.is(&commit.batch)) {
            self.follow(&tail);
            self.grant(commit.waiters, at);
        } else {
            // The service lost the write, or another owner has the sequence since.
            self.commit = Some(commit);
            self.abort_commit();
            self.follow(&tail);
        }
        self.seen_tail = at.now;
    }

    /// Answers the asks of a batch that counts by what the log says now: sequences after it may
    /// show that a claim is contested.
    fn grant(&mut self, waiters: Vec<Waiting>, at: Moment) {
        for waiting in waiters {
            let answer = match waiting.ask {
                Ask::Claim { .. } => self.known(&waiting, at),
                Ask::Settle { .. } => Some(Answer::Settled(true)),
            };
            match answer {
                Some(answer) => self.answer(waiting.id, answer),
                None => self.waiting.push_front(waiting),
            }
        }
    }

    /// Looks at the end of an idle log, where another owner or a loss of data would show.
    pub(super) fn tail_call(&self, at: Moment) -> Option<Call> {
        let is_due = at.now.since(self.seen_tail) >= TAIL_PERIOD;
        (is_due || self.seen_tail == Instant::default())
            .then(|| self.list_from(self.next.saturating_sub(1)))
    }

    pub(super) fn tail(&mut self, result: Result, at: Moment) {
        let Result::Listed(entries) = result else {
            return;
        };
        self.seen_tail = at.now.max(Instant::from_micros(1));
        let tail = self.parse_tail(&entries);
        if self.check_tail(&tail) {
            self.follow(&tail);
        }
    }

    /// Applies the sequences of the log's end that follow on what is applied.
    fn follow(&mut self, tail: &Tail) {
        for seen in &tail.batches {
            if seen.sequence == self.next {
                self.apply(seen);
            }
        }
    }

    /// Applies the next sequence.
    pub(super) fn apply(&mut self, seen: &Seen) {
        for record in &seen.batch.records {
            self.table.apply(record);
        }
        self.revisions.insert(seen.sequence, seen.revision);
        self.last = Some(Batch {
            records: Vec::new(),
            ..seen.batch.clone()
        });
        self.next = seen.sequence + 1;
    }

    /// Ends the commit; its asks wait again and are answered by what the log says then.
    pub(super) fn abort_commit(&mut self) {
        let Some(commit) = self.commit.take() else {
            return;
        };
        for waiting in commit.waiters.into_iter().rev() {
            self.waiting.push_front(waiting);
        }
        for record in commit.batch.records.into_iter().take(commit.relogged).rev() {
            self.relog.push_front(record);
        }
    }

    pub(super) fn expire_commit(&mut self, at: Moment) {
        let Some(commit) = &mut self.commit else {
            return;
        };
        let (over, waiters): (Vec<_>, Vec<_>) = std::mem::take(&mut commit.waiters)
            .into_iter()
            .partition(|waiting| waiting.until <= at.now);
        commit.waiters = waiters;
        for waiting in over {
            let answer = self.undecided(&waiting, at);
            self.answer(waiting.id, answer);
        }
    }

    pub(super) fn list_from(&self, sequence: u64) -> Call {
        Call::List {
            prefix: self.keys.log_prefix(),
            after: self.keys.sequence(sequence.saturating_sub(1)),
        }
    }

    pub(super) fn parse_tail(&self, entries: &[platform::Entry]) -> Tail {
        let mut tail = Tail {
            batches: Vec::new(),
            head: None,
        };
        for entry in entries {
            let Some(value) = &entry.value else {
                continue;
            };
            if entry.key == self.keys.head() {
                let head = serde_json::from_str(value).ok();
                tail.head = head.map(|head| (head, entry.revision));
            } else if let Some(sequence) = self.keys.parse_sequence(&entry.key)
                && let Some(batch) = parse(value)
            {
                tail.batches.push(Seen {
                    sequence,
                    revision: entry.revision,
                    batch,
                });
            }
        }
        tail
    }

    /// Collects records for a batch, and the asks that they answer.
    fn fill(&mut self, at: Moment) -> (usize, Vec<Record>, Vec<Waiting>) {
        let (mut records, mut waiters, mut bytes) = (Vec::new(), Vec::new(), 0);
        while bytes < BATCH_BYTES_MAX
            && let Some(record) = self.relog.pop_front()
        {
            bytes += record_bytes(&record);
            records.push(record);
        }
        let relogged = records.len();
        if relogged > 0 {
            return (relogged, records, waiters);
        }
        let mut claimed: HashMap<Hash, Hash> = HashMap::new();
        let mut left = VecDeque::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let needs_lookup = matches!(self.find(&waiting, at), Found::Chunks(_));
            if bytes >= BATCH_BYTES_MAX || needs_lookup {
                left.push_back(waiting);
                continue;
            }
            match (&waiting.ask, claimed.get(&waiting.ask.key())) {
                // The first of several attempts with one key is granted, if any.
                (Ask::Claim { attempt, .. }, Some(first)) if first != attempt => {
                    left.push_back(waiting);
                    continue;
                }
                (Ask::Claim { key, attempt, .. }, None) => {
                    claimed.insert(*key, *attempt);
                    records.push(waiting.ask.record(at));
                }
                (Ask::Claim { .. }, Some(_)) => {}
                (Ask::Settle { .. }, _) => records.push(waiting.ask.record(at)),
            }
            bytes += records.last().map_or(0, record_bytes);
            waiters.push(waiting);
        }
        self.waiting = left;
        (relogged, records, waiters)
    }
}

impl Ask {
    fn record(&self, at: Moment) -> Record {
        match self.clone() {
            Self::Claim {
                key,
                request,
                claimant,
                incarnation,
                attempt,
            } => Record::Claimed {
                key,
                request,
                claimant,
                incarnation,
                attempt,
                at_ms: at.unix_ms,
            },
            Self::Settle {
                key,
                attempt,
                outcome,
            } => match outcome {
                Outcome::Done(recorded) => Record::Done {
                    key,
                    attempt,
                    recorded,
                },
                Outcome::Released => Record::Released { key, attempt },
                Outcome::Pending | Outcome::Unknown => Record::Unknown { key, attempt },
            },
        }
    }
}

pub(super) fn parse(value: &str) -> Option<Batch> {
    serde_json::from_str(value).ok()
}

fn record_bytes(record: &Record) -> usize {
    match record {
        Record::Done { recorded, .. } => RECORD_BYTES + recorded.body.len(),
        Record::Claimed { .. } | Record::Unknown { .. } | Record::Released { .. } => RECORD_BYTES,
    }
}
