use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::commit::Commit;
use super::compact::{Compaction, Garbage, SEQUENCES_MAX};
use super::load::Loading;
use super::table::{Found, Table};
use super::{Answer, Batch, Call, CallResult, Chunk, Claim, Hash128, Head, Keys, Outcome, Request};
use crate::Instant;

/// Time after which a pending request gets the answer of [`Owner::undecided_answer`].
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of pending requests; further ones get the answer of [`Owner::undecided_answer`]
/// at once.
const PENDING_MAX: usize = 4_096;
/// Time for which a claim without an outcome counts as running while its daemon is live.
const RUN_TIME_MAX_MS: u64 = 15 * 60 * 1_000;
/// Time before the next call after one failure; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Number of consecutive failed calls from which on claims get the answer of
/// [`Owner::undecided_answer`] at once.
const FAILURES_MAX: u32 = 2;
/// Time for which a daemon retains the state of a shard that it no longer owns, in case it owns the
/// shard again while the service is unreachable.
const DISOWNED_RETENTION: Duration = Duration::from_mins(10);

/// State machine of the owner of one shard: requests come in, calls to the key-value service go out
/// one at a time, and their results come back.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    pub(super) keys: Keys,
    pub(super) name: Name,
    pub(super) incarnation: u64,
    /// This daemon should own the shard, as [`Owner::set_members`] says.
    pub(super) is_owning: bool,
    /// Live daemons with their incarnations.
    pub(super) live: HashSet<(Name, u64)>,
    /// Progress of loading the shard; `None` until the head was read and once the shard is loaded.
    pub(super) load: Option<Loading>,
    pub(super) is_loaded: bool,
    pub(super) table: Table,
    /// Next sequence to write; all earlier ones are applied.
    pub(super) next_sequence: u64,
    pub(super) head: Head,
    /// Revision of the head's key, 0 when it does not exist.
    pub(super) head_revision: u64,
    /// Revisions of the sequences from the floor on, needed to delete them.
    pub(super) revisions: BTreeMap<u64, u64>,
    /// The batch before `next_sequence`; if the service no longer has it, the service was restored
    /// from older data.
    pub(super) last_batch: Option<Batch>,
    pub(super) batches_written: u64,
    /// Requests that are neither answered nor part of the commit.
    pub(super) pending: VecDeque<PendingRequest>,
    /// Records to write again, since the service lost data.
    pub(super) rewrites: VecDeque<super::Record>,
    pub(super) commit: Option<Commit>,
    pub(super) last_commit: Option<Instant>,
    /// Time of the last read of the end of the log; zero requests one at once.
    pub(super) tail_checked_at: Instant,
    pub(super) compaction: Option<Compaction>,
    pub(super) sequences_max: u64,
    pub(super) garbage: VecDeque<Garbage>,
    pub(super) in_flight: Option<Step>,
    backoff: Duration,
    pub(super) retry_at: Instant,
    consecutive_failures: u32,
    /// Time at which this daemon ceased to own the shard, while it retains the shard's state.
    disowned_at: Option<Instant>,
    answers: Vec<(u64, Answer)>,
}

/// Purpose of the call in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Load,
    Commit,
    /// Read of the end of the log.
    Tail,
    /// Read of a chunk that may contain a key.
    Lookup {
        key: Hash128,
        chunk: u64,
    },
    Compact,
    Delete,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingRequest {
    pub(super) id: u64,
    pub(super) request: Request,
    pub(super) deadline: Instant,
    /// Chunks that were read and do not contain the key.
    pub(super) excluded_chunks: Vec<u64>,
}

/// Reading of a daemon's monotonic and system clocks.
///
/// Leases have a type of their own, [`authority::Timestamp`](crate::authority::Timestamp), which
/// compares times on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    /// The monotonic clock.
    pub monotonic: Instant,
    /// Unix time in milliseconds, as stored in records for other daemons.
    pub unix_ms: u64,
}

impl Owner {
    /// Creates the owner of a shard for one incarnation of a daemon; the log is loaded once the
    /// daemon owns the shard or a request is submitted.
    #[must_use]
    pub fn open(shard: u8, name: Name, incarnation: u64) -> Self {
        Self {
            keys: Keys { shard },
            name,
            incarnation,
            is_owning: false,
            live: HashSet::new(),
            load: None,
            is_loaded: false,
            table: Table::default(),
            next_sequence: 1,
            head: Head::default(),
            head_revision: 0,
            revisions: BTreeMap::new(),
            last_batch: None,
            batches_written: 0,
            pending: VecDeque::new(),
            rewrites: VecDeque::new(),
            commit: None,
            last_commit: None,
            tail_checked_at: Instant::default(),
            compaction: None,
            sequences_max: SEQUENCES_MAX,
            garbage: VecDeque::new(),
            in_flight: None,
            backoff: BACKOFF_MIN,
            retry_at: Instant::default(),
            consecutive_failures: 0,
            disowned_at: None,
            answers: Vec::new(),
        }
    }

    /// Sets whether this daemon should own the shard, and which daemons are live.
    ///
    /// Wrongly assumed ownership is safe: conditional writes to the log detect a second owner.
    pub fn set_members(&mut self, is_owning: bool, live: HashSet<(Name, u64)>, now: Instant) {
        if is_owning != self.is_owning {
            // Another owner may have written to the log in the meantime.
            self.tail_checked_at = Instant::default();
            self.disowned_at = (!is_owning).then_some(now);
        }
        self.is_owning = is_owning;
        self.live = live;
        if self
            .disowned_at
            .is_some_and(|since| now.since(since) > DISOWNED_RETENTION)
        {
            self.disowned_at = None;
            self.reload();
            self.table = Table::default();
        }
    }

    /// Sets the number of sequences at which the log is compacted.
    #[must_use]
    pub fn with_sequences_max(mut self, sequences: u64) -> Self {
        self.sequences_max = sequences.max(1);
        self
    }

    /// Returns whether this daemon should own the shard.
    #[must_use]
    pub fn is_owning(&self) -> bool {
        self.is_owning
    }

    /// Returns whether requests wait for an answer or records wait to be written.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending.is_empty() || !self.rewrites.is_empty() || self.commit.is_some()
    }

    /// Submits a request; [`Self::take_answers`] returns its answer with `id`.
    pub fn submit(&mut self, id: u64, request: Request, now: Timestamp) {
        let pending = PendingRequest {
            id,
            request,
            deadline: now.monotonic + REQUEST_TIMEOUT,
            excluded_chunks: Vec::new(),
        };
        if self.is_loaded
            && let Some(answer) = self.known_answer(&pending, now)
        {
            self.answers.push((id, answer));
            return;
        }
        let is_service_down = self.consecutive_failures >= FAILURES_MAX
            && matches!(pending.request, Request::Claim { .. });
        if is_service_down || self.pending.len() >= PENDING_MAX {
            let answer = self.undecided_answer(&pending, now);
            self.answers.push((id, answer));
            return;
        }
        self.pending.push_back(pending);
    }

    /// Returns the answers that are ready, with the identities of their requests.
    pub fn take_answers(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.answers)
    }

    /// Answers the requests that have timed out.
    pub fn expire(&mut self, now: Timestamp) {
        let (expired, pending): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.deadline <= now.monotonic);
        self.pending = pending;
        for pending in expired {
            let answer = self.undecided_answer(&pending, now);
            self.answers.push((pending.id, answer));
        }
        self.expire_commit(now);
    }

    /// Returns the next call; at most one is in flight.
    pub fn next_call(&mut self, now: Timestamp) -> Option<Call> {
        if self.in_flight.is_some() || now.monotonic < self.retry_at {
            return None;
        }
        let (step, call) = self.next_step(now)?;
        self.in_flight = Some(step);
        Some(call)
    }

    /// Processes the result of the call that [`Self::next_call`] returned.
    pub fn handle_result(&mut self, result: CallResult, now: Timestamp) {
        let Some(step) = self.in_flight.take() else {
            return;
        };
        if matches!(result, CallResult::NotDone | CallResult::Lost) {
            self.consecutive_failures += 1;
            self.retry_at = now.monotonic + self.backoff;
            self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
            if self.consecutive_failures >= FAILURES_MAX {
                self.refuse_claims(now);
            }
        } else {
            self.consecutive_failures = 0;
            self.backoff = BACKOFF_MIN;
        }
        match step {
            Step::Load => self.handle_load(result, now),
            Step::Commit => self.handle_commit(result, now),
            Step::Tail => self.handle_tail(result, now),
            Step::Lookup { key, chunk } => self.handle_lookup(key, chunk, result, now),
            Step::Compact => self.handle_compaction(result, now),
            Step::Delete => self.handle_deletion(&result),
        }
    }

    fn next_step(&mut self, now: Timestamp) -> Option<(Step, Call)> {
        if !self.is_loaded {
            if !self.is_owning && self.pending.is_empty() {
                return None;
            }
            return Some((Step::Load, self.load_call()));
        }
        if self.commit.is_none() {
            self.answer_pending(now);
            if let Some((key, chunk)) = self.lookup(now) {
                let call = Call::Read(self.keys.chunk(chunk));
                return Some((Step::Lookup { key, chunk }, call));
            }
            self.start_commit(now);
        }
        if let Some(call) = self.commit_call() {
            return Some((Step::Commit, call));
        }
        if !self.is_owning {
            return None;
        }
        if let Some(call) = self.tail_call(now) {
            return Some((Step::Tail, call));
        }
        if let Some(call) = self.compact_call(now) {
            return Some((Step::Compact, call));
        }
        self.delete_call().map(|call| (Step::Delete, call))
    }

    /// Answers from the loaded state without a call; `None` when that is not possible.
    pub(super) fn known_answer(&self, pending: &PendingRequest, now: Timestamp) -> Option<Answer> {
        match (&pending.request, self.find(pending, now)) {
            (request, Found::Claim(claim)) => {
                request.answer_from(claim, |claim| self.is_running(claim, now))
            }
            (Request::Claim { .. }, _) | (_, Found::Chunks(_)) => None,
            // The outcome of a claim that was never recorded needs no record, but a record of the
            // claim may be pending.
            (Request::Settle { .. }, Found::Nowhere) => self
                .commit
                .is_none()
                .then_some(Answer::Settled(true))
                .filter(|_| self.pending.is_empty()),
        }
    }

    /// Looks up the claim of a request's key.
    pub(super) fn find(&self, pending: &PendingRequest, now: Timestamp) -> Found<'_> {
        self.table
            .find(pending.request.key(), &pending.excluded_chunks, now.unix_ms)
    }

    pub(super) fn push_answer(&mut self, id: u64, answer: Answer) {
        self.answers.push((id, answer));
    }

    /// Marks the shard as not loaded, so that it is loaded again from its head.
    pub(super) fn reload(&mut self) {
        self.is_loaded = false;
        self.load = None;
        self.compaction = None;
        self.abort_commit();
    }

    /// Answers the pending requests that need no call.
    fn answer_pending(&mut self, now: Timestamp) {
        let pending = std::mem::take(&mut self.pending);
        for pending in pending {
            match self.known_answer(&pending, now) {
                Some(answer) => self.answers.push((pending.id, answer)),
                None => self.pending.push_back(pending),
            }
        }
    }

    /// Returns the next chunk that must be read to answer a request.
    fn lookup(&self, now: Timestamp) -> Option<(Hash128, u64)> {
        self.pending.iter().find_map(|pending| {
            let Found::Chunks(chunks) = self.find(pending, now) else {
                return None;
            };
            Some((pending.request.key(), *chunks.first()?))
        })
    }

    fn handle_lookup(&mut self, key: Hash128, number: u64, result: CallResult, now: Timestamp) {
        let CallResult::Read(value) = result else {
            return;
        };
        let chunk = value.and_then(|(value, _)| serde_json::from_str::<Chunk>(&value).ok());
        let Some(chunk) = chunk else {
            return self.assume_claimed(key, now);
        };
        let claim = chunk.entries.into_iter().find(|(other, _)| *other == key);
        if let Some((_, claim)) = claim {
            self.table.insert_from_chunk(key, claim);
            return;
        }
        for pending in &mut self.pending {
            if pending.request.key() == key {
                pending.excluded_chunks.push(number);
            }
        }
    }

    /// Treats a key as claimed when the service lost its chunk: an attempt claimed it, but which
    /// one is unknown.
    fn assume_claimed(&mut self, key: Hash128, now: Timestamp) {
        let digest = self
            .pending
            .iter()
            .find_map(|pending| match &pending.request {
                Request::Claim {
                    key: pending_key,
                    digest,
                    ..
                } if *pending_key == key => Some(*digest),
                _ => None,
            });
        let claim = Claim {
            digest: digest.unwrap_or(key),
            claimant: Name::default(),
            incarnation: 0,
            attempt: Hash128(0),
            at_ms: now.unix_ms,
            outcome: Outcome::Unknown,
        };
        self.table.insert_from_chunk(key, claim);
    }

    /// Answers the pending claims as undecided while the service is unreachable, so that callers
    /// get an answer at once.
    fn refuse_claims(&mut self, now: Timestamp) {
        let (claims, others): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| matches!(pending.request, Request::Claim { .. }));
        self.pending = others;
        for pending in claims {
            let answer = self.undecided_answer(&pending, now);
            self.answers.push((pending.id, answer));
        }
    }

    /// Answers a request whose record could not be written.
    ///
    /// Callers must not be told that a request did not run when an earlier submission with its key
    /// may have run.
    pub(super) fn undecided_answer(&self, pending: &PendingRequest, now: Timestamp) -> Answer {
        let has_not_run = match self.find(pending, now) {
            Found::Nowhere => true,
            Found::Claim(claim) => claim.outcome == Outcome::Released,
            Found::Chunks(_) => false,
        };
        if self.is_loaded && has_not_run {
            return pending.request.absent();
        }
        pending.request.unavailable()
    }

    /// Returns whether the attempt that holds a claim without an outcome may still run.
    fn is_running(&self, claim: &Claim, now: Timestamp) -> bool {
        claim.at_ms + RUN_TIME_MAX_MS > now.unix_ms
            && self
                .live
                .contains(&(claim.claimant.clone(), claim.incarnation))
    }
}
