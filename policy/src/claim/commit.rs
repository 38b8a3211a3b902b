use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ragwortgrade_schema::platform;

use super::owner::{PendingRequest, Timestamp};
use super::table::Found;
use super::{Answer, Batch, Call, CallResult, Hash128, Head, Outcome, Owner, Record, Request};
use crate::Instant;

/// Minimum time between the starts of two batches of a shard, which limits it to 20 batches/s.
const COMMIT_PERIOD: Duration = Duration::from_millis(50);
/// Maximum size of a batch's value, well below the service's limit of 1 MB.
const BATCH_BYTES_MAX: usize = 256 * 1_024;
/// Size of a record without a response body, rounded up.
const RECORD_BYTES: usize = 320;
/// Time between two reads of the end of an idle shard's log.
const TAIL_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// A batch that is being written to the log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Commit {
    sequence: u64,
    batch: Batch,
    /// The batch as it is stored.
    value: String,
    /// Requests that are answered once the batch is valid.
    requests: Vec<PendingRequest>,
    state: State,
    /// Number of records at the start of the batch that are written again after the service lost
    /// them.
    rewritten: usize,
    /// A write of this batch may have taken effect, so the batch must not be aborted before its
    /// sequence was read.
    may_be_written: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Write,
    /// The sequence may be taken, or the answer to the write was lost.
    ReadBack,
    /// The batch is written; the end of the log shows whether it is valid.
    Verify,
}

/// Result of listing the end of the log.
pub(super) struct Tail {
    /// The listed batches in the order of their sequences.
    pub(super) batches: Vec<LoggedBatch>,
    /// The head with its revision, if it is listed and can be parsed.
    pub(super) head: Option<(Head, u64)>,
}

/// A sequence of the log as stored in the service.
pub(super) struct LoggedBatch {
    pub(super) sequence: u64,
    pub(super) revision: u64,
    pub(super) batch: Batch,
}

impl Owner {
    /// Starts a batch of the pending records and requests when the last batch was started at least
    /// [`COMMIT_PERIOD`] ago.
    pub(super) fn start_commit(&mut self, now: Timestamp) {
        let is_due = self
            .last_commit
            .is_none_or(|last| now.monotonic.since(last) >= COMMIT_PERIOD);
        if !is_due || (self.pending.is_empty() && self.rewrites.is_empty()) {
            return;
        }
        let (rewritten, records, requests) = self.fill_batch(now);
        if records.is_empty() {
            return;
        }
        self.batches_written += 1;
        let batch = Batch {
            owner: self.name.clone(),
            incarnation: self.incarnation,
            number: self.batches_written,
            records,
        };
        let Ok(value) = serde_json::to_string(&batch) else {
            return;
        };
        self.last_commit = Some(now.monotonic);
        self.commit = Some(Commit {
            sequence: self.next_sequence,
            batch,
            value,
            requests,
            rewritten,
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

    pub(super) fn handle_commit(&mut self, result: CallResult, now: Timestamp) {
        let Some(commit) = &mut self.commit else {
            return;
        };
        match (commit.state, result) {
            (State::Write, CallResult::Written(_)) => commit.state = State::Verify,
            (State::Write, CallResult::Conflict) => commit.state = State::ReadBack,
            (State::Write, CallResult::Lost) => {
                commit.may_be_written = true;
                commit.state = State::ReadBack;
            }
            (State::Write, CallResult::NotDone) if !commit.may_be_written => self.abort_commit(),
            // The write is not visible yet and may still take effect, so the same batch is written
            // again.
            (State::ReadBack, CallResult::Read(None)) => commit.state = State::Write,
            (State::ReadBack, CallResult::Read(Some((value, _)))) => {
                if parse_batch(&value).is_some_and(|batch| batch.is_same(&commit.batch)) {
                    commit.state = State::Verify;
                } else {
                    // Another owner wrote the sequence first; its records take effect before those
                    // of this batch.
                    self.abort_commit();
                    self.tail_checked_at = Instant::default();
                }
            }
            (State::Verify, CallResult::Listed(entries)) => self.verify(&entries, now),
            _ => {}
        }
    }

    /// Decides from the end of the log whether a written batch is valid, that is, whether its
    /// sequence still contains it.
    fn verify(&mut self, entries: &[platform::Entry], now: Timestamp) {
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
            .find(|logged| logged.sequence == commit.sequence);
        if found.is_some_and(|logged| logged.batch.is_same(&commit.batch)) {
            self.apply_tail(&tail);
            self.answer_requests(commit.requests, now);
        } else {
            // The service lost the write, or another owner has written the sequence since.
            self.commit = Some(commit);
            self.abort_commit();
            self.apply_tail(&tail);
        }
        self.tail_checked_at = now.monotonic;
    }

    /// Answers the requests of a valid batch from the current state of the log: later sequences may
    /// show that a claim is contested.
    fn answer_requests(&mut self, requests: Vec<PendingRequest>, now: Timestamp) {
        for pending in requests {
            let answer = match pending.request {
                Request::Claim { .. } => self.known_answer(&pending, now),
                Request::Settle { .. } => Some(Answer::Settled(true)),
            };
            match answer {
                Some(answer) => self.push_answer(pending.id, answer),
                None => self.pending.push_front(pending),
            }
        }
    }

    /// Returns the call that reads the end of an idle log when it is due, to detect another owner
    /// or a loss of data.
    pub(super) fn tail_call(&self, now: Timestamp) -> Option<Call> {
        let is_due = now.monotonic.since(self.tail_checked_at) >= TAIL_CHECK_PERIOD;
        (is_due || self.tail_checked_at == Instant::default())
            .then(|| self.list_from(self.next_sequence.saturating_sub(1)))
    }

    pub(super) fn handle_tail(&mut self, result: CallResult, now: Timestamp) {
        let CallResult::Listed(entries) = result else {
            return;
        };
        // Zero would request another check at once.
        self.tail_checked_at = now.monotonic.max(Instant::from_micros(1));
        let tail = self.parse_tail(&entries);
        if self.check_tail(&tail) {
            self.apply_tail(&tail);
        }
    }

    /// Applies the sequences at the end of the log that directly follow the applied ones.
    fn apply_tail(&mut self, tail: &Tail) {
        for logged in &tail.batches {
            if logged.sequence == self.next_sequence {
                self.apply(logged);
            }
        }
    }

    /// Applies the next sequence.
    pub(super) fn apply(&mut self, logged: &LoggedBatch) {
        for record in &logged.batch.records {
            self.table.apply(record);
        }
        self.revisions.insert(logged.sequence, logged.revision);
        self.last_batch = Some(Batch {
            records: Vec::new(),
            ..logged.batch.clone()
        });
        self.next_sequence = logged.sequence + 1;
    }

    /// Aborts the commit; its requests become pending again and are answered from the log as it is
    /// then.
    pub(super) fn abort_commit(&mut self) {
        let Some(commit) = self.commit.take() else {
            return;
        };
        for pending in commit.requests.into_iter().rev() {
            self.pending.push_front(pending);
        }
        for record in commit
            .batch
            .records
            .into_iter()
            .take(commit.rewritten)
            .rev()
        {
            self.rewrites.push_front(record);
        }
    }

    /// Answers the requests of the commit that have timed out; the batch is still written.
    pub(super) fn expire_commit(&mut self, now: Timestamp) {
        let Some(commit) = &mut self.commit else {
            return;
        };
        let (expired, requests): (Vec<_>, Vec<_>) = std::mem::take(&mut commit.requests)
            .into_iter()
            .partition(|pending| pending.deadline <= now.monotonic);
        commit.requests = requests;
        for pending in expired {
            let answer = self.undecided_answer(&pending, now);
            self.push_answer(pending.id, answer);
        }
    }

    /// Returns the call that lists the log from `sequence` on, together with the head.
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
                && let Some(batch) = parse_batch(value)
            {
                tail.batches.push(LoggedBatch {
                    sequence,
                    revision: entry.revision,
                    batch,
                });
            }
        }
        tail
    }

    /// Collects records for a batch and the requests that are answered once it is written; returns
    /// first how many of the records are rewrites. Rewrites get a batch of their own, before any
    /// pending request.
    fn fill_batch(&mut self, now: Timestamp) -> (usize, Vec<Record>, Vec<PendingRequest>) {
        let (mut records, mut requests, mut bytes) = (Vec::new(), Vec::new(), 0);
        while bytes < BATCH_BYTES_MAX
            && let Some(record) = self.rewrites.pop_front()
        {
            bytes += record_bytes(&record);
            records.push(record);
        }
        let rewritten = records.len();
        if rewritten > 0 {
            return (rewritten, records, requests);
        }
        let mut claimed: HashMap<Hash128, Hash128> = HashMap::new();
        let mut remaining = VecDeque::new();
        for pending in std::mem::take(&mut self.pending) {
            let needs_lookup = matches!(self.find(&pending, now), Found::Chunks(_));
            if bytes >= BATCH_BYTES_MAX || needs_lookup {
                remaining.push_back(pending);
                continue;
            }
            match (&pending.request, claimed.get(&pending.request.key())) {
                // Of several attempts with the same key, only the first can be granted.
                (Request::Claim { attempt, .. }, Some(first)) if first != attempt => {
                    remaining.push_back(pending);
                    continue;
                }
                (Request::Claim { key, attempt, .. }, None) => {
                    claimed.insert(*key, *attempt);
                    records.push(pending.request.record(now));
                }
                (Request::Claim { .. }, Some(_)) => {}
                (Request::Settle { .. }, _) => records.push(pending.request.record(now)),
            }
            bytes += records.last().map_or(0, record_bytes);
            requests.push(pending);
        }
        self.pending = remaining;
        (rewritten, records, requests)
    }
}

impl Request {
    /// Returns the record that the request adds to the log.
    fn record(&self, now: Timestamp) -> Record {
        match self.clone() {
            Self::Claim {
                key,
                digest,
                claimant,
                incarnation,
                attempt,
            } => Record::Claimed {
                key,
                digest,
                claimant,
                incarnation,
                attempt,
                at_ms: now.unix_ms,
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

pub(super) fn parse_batch(value: &str) -> Option<Batch> {
    serde_json::from_str(value).ok()
}

/// Returns the size of a record in a batch, rounded up.
fn record_bytes(record: &Record) -> usize {
    match record {
        Record::Done { recorded, .. } => RECORD_BYTES + recorded.body.len(),
        Record::Claimed { .. } | Record::Unknown { .. } | Record::Released { .. } => RECORD_BYTES,
    }
}
