use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::commit::Commit;
use super::compact::{Compaction, Garbage, SEQUENCES_MAX};
use super::load::Load;
use super::table::{Found, Table};
use super::{Answer, Ask, Batch, Call, Chunk, Entry, Hash, Head, Keys, Outcome, Result};
use crate::Instant;

/// An ask that is not answered by then is answered as unavailable.
const ASK_PATIENCE: Duration = Duration::from_millis(1_500);
/// Asks that wait at once; more are answered as unavailable.
const WAITING_MAX: usize = 4_096;
/// A claim without an outcome is taken to be running for this time, while its daemon lives.
const RUN_MS_MAX: u64 = 15 * 60 * 1_000;
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Failures in a row after which new claims are refused at once.
const FAILURES_MAX: u32 = 2;
/// An owner that lost its shard keeps what it knows for this time, in case the shard comes back
/// while the service cannot be reached.
const DISOWNED_KEPT: Duration = Duration::from_mins(10);

/// The owner of one shard: asks go in, calls of the key-value service come out one at a time, and
/// their results go in.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    pub(super) keys: Keys,
    pub(super) name: Name,
    pub(super) incarnation: u64,
    pub(super) is_owning: bool,
    pub(super) live: HashSet<(Name, u64)>,
    /// `None` before the first load.
    pub(super) load: Option<Load>,
    pub(super) is_loaded: bool,
    pub(super) table: Table,
    /// Next sequence to write; everything before it is applied.
    pub(super) next: u64,
    pub(super) head: Head,
    /// Revision of the head's key, 0 when it does not exist.
    pub(super) head_revision: u64,
    /// Revisions of the sequences from the floor on, with which they are deleted.
    pub(super) revisions: BTreeMap<u64, u64>,
    /// The batch before `next`; when it is gone, the service came back with older data.
    pub(super) last: Option<Batch>,
    pub(super) batches: u64,
    pub(super) waiting: VecDeque<Waiting>,
    pub(super) relog: VecDeque<super::Record>,
    pub(super) commit: Option<Commit>,
    pub(super) committed: Option<Instant>,
    pub(super) seen_tail: Instant,
    pub(super) compaction: Option<Compaction>,
    pub(super) sequences_max: u64,
    pub(super) garbage: VecDeque<Garbage>,
    pub(super) in_flight: Option<Step>,
    backoff: Duration,
    pub(super) retry_at: Instant,
    failures: u32,
    disowned: Option<Instant>,
    answers: Vec<(u64, Answer)>,
}

/// What the call in flight is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Load,
    Commit,
    Tail,
    Lookup { key: Hash, chunk: u64 },
    Compact,
    Delete,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct Waiting {
    pub(super) id: u64,
    pub(super) ask: Ask,
    pub(super) until: Instant,
    /// Chunks that were read and do not hold the key.
    pub(super) excluded: Vec<u64>,
}

/// A point in time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Monotonic time of the daemon.
    pub now: Instant,
    /// Unix time in milliseconds, which records carry to other daemons.
    pub unix_ms: u64,
}

impl Owner {
    /// Opens the owner of a shard in one incarnation of a daemon; it loads the log when it first
    /// owns the shard.
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
            next: 1,
            head: Head::default(),
            head_revision: 0,
            revisions: BTreeMap::new(),
            last: None,
            batches: 0,
            waiting: VecDeque::new(),
            relog: VecDeque::new(),
            commit: None,
            committed: None,
            seen_tail: Instant::default(),
            compaction: None,
            sequences_max: SEQUENCES_MAX,
            garbage: VecDeque::new(),
            in_flight: None,
            backoff: BACKOFF_MIN,
            retry_at: Instant::default(),
            failures: 0,
            disowned: None,
            answers: Vec::new(),
        }
    }

    /// Takes in whether this daemon should own the shard, and the daemons that are live.
    ///
    /// Ownership by mistake is safe: the log tells two owners apart.
    pub fn set_members(&mut self, is_owning: bool, live: HashSet<(Name, u64)>, now: Instant) {
        if is_owning != self.is_owning {
            // Another owner may have written since this daemon last did.
            self.seen_tail = Instant::default();
            self.disowned = (!is_owning).then_some(now);
        }
        self.is_owning = is_owning;
        self.live = live;
        if self
            .disowned
            .is_some_and(|since| now.since(since) > DISOWNED_KEPT)
        {
            self.disowned = None;
            self.reload();
            self.table = Table::default();
        }
    }

    /// Compacts the log when it has this many sequences.
    #[must_use]
    pub fn compacting_at(mut self, sequences: u64) -> Self {
        self.sequences_max = sequences.max(1);
        self
    }

    /// Tells whether this daemon should own the shard.
    #[must_use]
    pub fn is_owning(&self) -> bool {
        self.is_owning
    }

    /// Tells whether something waits for the next call.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || !self.relog.is_empty() || self.commit.is_some()
    }

    /// Takes in an ask; its answer comes out of [`Self::take_answers`] under `id`.
    pub fn ask(&mut self, id: u64, ask: Ask, at: Moment) {
        let waiting = Waiting {
            id,
            ask,
            until: at.now + ASK_PATIENCE,
            excluded: Vec::new(),
        };
        if self.is_loaded
            && let Some(answer) = self.known(&waiting, at)
        {
            self.answers.push((id, answer));
            return;
        }
        let is_hopeless = self.failures >= FAILURES_MAX && matches!(waiting.ask, Ask::Claim { .. });
        if is_hopeless || self.waiting.len() >= WAITING_MAX {
            let answer = self.undecided(&waiting, at);
            self.answers.push((id, answer));
            return;
        }
        self.waiting.push_back(waiting);
    }

    /// Returns the answers that are ready.
    pub fn take_answers(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.answers)
    }

    /// Answers the asks whose time is over.
    pub fn expire(&mut self, at: Moment) {
        let (over, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.until <= at.now);
        self.waiting = waiting;
        for waiting in over {
            let answer = self.undecided(&waiting, at);
            self.answers.push((waiting.id, answer));
        }
        self.expire_commit(at);
    }

    /// Returns the next call; there is at most one at a time.
    pub fn next_call(&mut self, at: Moment) -> Option<Call> {
        if self.in_flight.is_some() || at.now < self.retry_at {
            return None;
        }
        let (step, call) = self.plan(at)?;
        self.in_flight = Some(step);
        Some(call)
    }

    /// Takes in the result of the call that [`Self::next_call`] returned.
    pub fn answered(&mut self, result: Result, at: Moment) {
        let Some(step) = self.in_flight.take() else {
            return;
        };
        if matches!(result, Result::NotDone | Result::Lost) {
            self.failures += 1;
            self.retry_at = at.now + self.backoff;
            self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
            if self.failures >= FAILURES_MAX {
                self.refuse_claims(at);
            }
        } else {
            self.failures = 0;
            self.backoff = BACKOFF_MIN;
        }
        match step {
            Step::Load => self.loaded(result, at),
            Step::Commit => self.committed(result, at),
            Step::Tail => self.tail(result, at),
            Step::Lookup { key, chunk } => self.looked_up(key, chunk, result, at),
            Step::Compact => self.compacted(result, at),
            Step::Delete => self.deleted(&result),
        }
    }

    fn plan(&mut self, at: Moment) -> Option<(Step, Call)> {
        if !self.is_loaded {
            if !self.is_owning && self.waiting.is_empty() {
                return None;
            }
            return Some((Step::Load, self.load_call()));
        }
        if self.commit.is_none() {
            self.answer_known(at);
            if let Some((key, chunk)) = self.lookup(at) {
                let call = Call::Read(self.keys.chunk(chunk));
                return Some((Step::Lookup { key, chunk }, call));
            }
            self.start_commit(at);
        }
        if let Some(call) = self.commit_call() {
            return Some((Step::Commit, call));
        }
        if !self.is_owning {
            return None;
        }
        if let Some(call) = self.tail_call(at) {
            return Some((Step::Tail, call));
        }
        if let Some(call) = self.compact_call(at) {
            return Some((Step::Compact, call));
        }
        self.delete_call().map(|call| (Step::Delete, call))
    }

    /// Answers from what is known without a call; `None` when that is not enough.
    pub(super) fn known(&self, waiting: &Waiting, at: Moment) -> Option<Answer> {
        match (&waiting.ask, self.find(waiting, at)) {
            (ask, Found::Entry(entry)) => ask.answer(entry, |entry| self.is_running(entry, at)),
            (Ask::Claim { .. }, _) | (_, Found::Chunks(_)) => None,
            // An outcome of a claim that was never recorded needs no record, but the claim may be
            // on its way.
            (Ask::Settle { .. }, Found::Nowhere) => self
                .commit
                .is_none()
                .then_some(Answer::Settled(true))
                .filter(|_| self.waiting.is_empty()),
        }
    }

    pub(super) fn find(&self, waiting: &Waiting, at: Moment) -> Found<'_> {
        self.table
            .find(waiting.ask.key(), &waiting.excluded, at.unix_ms)
    }

    pub(super) fn answer(&mut self, id: u64, answer: Answer) {
        self.answers.push((id, answer));
    }

    /// Reads the log again from the start, as another owner changed it.
    pub(super) fn reload(&mut self) {
        self.is_loaded = false;
        self.load = None;
        self.compaction = None;
        self.abort_commit();
    }

    fn answer_known(&mut self, at: Moment) {
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            match self.known(&waiting, at) {
                Some(answer) => self.answers.push((waiting.id, answer)),
                None => self.waiting.push_back(waiting),
            }
        }
    }

    /// Returns the next chunk that must be read to answer an ask.
    fn lookup(&self, at: Moment) -> Option<(Hash, u64)> {
        self.waiting.iter().find_map(|waiting| {
            let Found::Chunks(chunks) = self.find(waiting, at) else {
                return None;
            };
            Some((waiting.ask.key(), *chunks.first()?))
        })
    }

    fn looked_up(&mut self, key: Hash, chunk: u64, result: Result, at: Moment) {
        let Result::Read(value) = result else {
            return;
        };
        let held = value.and_then(|(value, _)| serde_json::from_str::<Chunk>(&value).ok());
        let Some(held) = held else {
            return self.lose(key, at);
        };
        let entry = held.entries.into_iter().find(|(held, _)| *held == key);
        if let Some((_, entry)) = entry {
            self.table.learn(key, entry);
            return;
        }
        for waiting in &mut self.waiting {
            if waiting.ask.key() == key {
                waiting.excluded.push(chunk);
            }
        }
    }

    /// Treats a key as claimed whose chunk the service lost: it was claimed once, by whom is
    /// forgotten.
    fn lose(&mut self, key: Hash, at: Moment) {
        let request = self.waiting.iter().find_map(|waiting| match &waiting.ask {
            Ask::Claim {
                key: asked,
                request,
                ..
            } if *asked == key => Some(*request),
            _ => None,
        });
        let entry = Entry {
            request: request.unwrap_or(key),
            claimant: Name::default(),
            incarnation: 0,
            attempt: Hash(0),
            at_ms: at.unix_ms,
            outcome: Outcome::Unknown,
        };
        self.table.learn(key, entry);
    }

    /// Refuses new claims while the service cannot be reached, which callers then hear at once.
    fn refuse_claims(&mut self, at: Moment) {
        let (claims, others): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| matches!(waiting.ask, Ask::Claim { .. }));
        self.waiting = others;
        for waiting in claims {
            let answer = self.undecided(&waiting, at);
            self.answers.push((waiting.id, answer));
        }
    }

    /// Answers an ask whose record could not be written; callers must not be told that a request
    /// did not run when an earlier submission with its key may have.
    pub(super) fn undecided(&self, waiting: &Waiting, at: Moment) -> Answer {
        let has_no_run = match self.find(waiting, at) {
            Found::Nowhere => true,
            Found::Entry(entry) => entry.outcome == Outcome::Released,
            Found::Chunks(_) => false,
        };
        if self.is_loaded && has_no_run {
            return waiting.ask.absent();
        }
        waiting.ask.unavailable()
    }

    fn is_running(&self, entry: &Entry, at: Moment) -> bool {
        entry.at_ms + RUN_MS_MAX > at.unix_ms
            && self
                .live
                .contains(&(entry.claimant.clone(), entry.incarnation))
    }
}
