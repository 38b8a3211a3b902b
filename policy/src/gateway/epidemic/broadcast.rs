use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::statement::Told;
use super::{Digest, Message, Push, Statement};
use crate::Instant;

/// Number of daemons that a daemon tells what it has observed: all of a small fleet, so that the
/// statement arrives at once.
const FIRST_RECIPIENTS: usize = 16;
/// Number of daemons to which each daemon passes on what it was told: about 2 in 100 are missed.
const NEXT_RECIPIENTS: usize = 4;
/// Age up to which a statement is passed on. Older ones reach the daemons that lack them, for
/// example after a cut, by the comparison of digests.
const PASS_ON_AGE_MAX: Duration = Duration::from_secs(2);
/// Maximum number of statements in one message: they fit into about 1,400 bytes.
const STATEMENTS_MAX: usize = 12;
/// Maximum size of the registrations in one message of several statements, which must fit into a
/// datagram.
const REGISTRATION_BYTES_MAX: usize = 8 * 1024;
/// Maximum number of statements of which the IDs are sent, and of those that wait to be sent.
const HELD_MAX: usize = 512;
/// Maximum number of statements that are told in answer to one message.
const ANSWER_MAX: usize = 256;
/// Time for which it is remembered that a statement was told, longer than any of them is held.
const TOLD_TIME: Duration = Duration::from_mins(11);
/// Maximum number of statements of which that is remembered; at about 40 bytes each they take
/// 160 KB.
const TOLD_MAX: usize = 4_096;

/// Decides what a daemon tells others, and whom.
///
/// The statements themselves are held by those who act on them; they are passed in where they are
/// compared.
#[derive(Debug)]
pub struct Broadcast {
    random: ChaCha8Rng,
    told: HashMap<u64, Told>,
    /// Keys in `told` with the times at which they were added, the oldest first.
    told_order: VecDeque<(Instant, u64)>,
    own: VecDeque<Statement>,
    passed_on: VecDeque<Statement>,
}

impl Broadcast {
    /// Returns a broadcast that has told nothing; the seed decides which daemons it tells.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            told: HashMap::new(),
            told_order: VecDeque::new(),
            own: VecDeque::new(),
            passed_on: VecDeque::new(),
        }
    }

    /// Tells others what this daemon has observed, unless they were told the same lately.
    pub fn publish(&mut self, statement: Statement, now: Instant) {
        if self.record(&statement, now) {
            push_bounded(&mut self.own, statement);
        }
    }

    /// Adds what another daemon tells, with times on this daemon's clock. Returns what this daemon
    /// should act on.
    pub fn receive(&mut self, statements: Vec<Statement>, now: Instant) -> Vec<Statement> {
        let mut accepted = Vec::new();
        for statement in statements {
            let is_news = self.record(&statement, now);
            if is_news && now.since(statement.at()) <= PASS_ON_AGE_MAX {
                push_bounded(&mut self.passed_on, statement.clone());
            }
            if is_news || statement.is_idempotent() {
                accepted.push(statement);
            }
        }
        accepted
    }

    /// Returns the next statements to be sent, this daemon's own ones first.
    pub fn next_push(&mut self) -> Option<Push> {
        let (queue, recipients) = if self.own.is_empty() {
            (&mut self.passed_on, NEXT_RECIPIENTS)
        } else {
            (&mut self.own, FIRST_RECIPIENTS)
        };
        let mut bytes = 0;
        let group = queue.front().map(Statement::message_group);
        let fitting = queue.iter().take(STATEMENTS_MAX).take_while(|statement| {
            bytes += statement.registration_bytes();
            bytes <= REGISTRATION_BYTES_MAX && Some(statement.message_group()) == group
        });
        // A single statement is sent whatever its size.
        let count = fitting.count().max(1).min(queue.len());
        let statements: Vec<Statement> = queue.drain(..count).collect();
        (!statements.is_empty()).then_some(Push {
            statements,
            recipients,
        })
    }

    /// Returns whether there is something to be sent.
    #[must_use]
    pub fn has_push(&self) -> bool {
        !self.own.is_empty() || !self.passed_on.is_empty()
    }

    /// Returns `count` random ones of the given daemons, or all if there are fewer.
    pub fn choose<T>(&mut self, mut daemons: Vec<T>, count: usize) -> Vec<T> {
        for chosen in 0..count.min(daemons.len()) {
            let other = self.random.random_range(chosen..daemons.len());
            daemons.swap(chosen, other);
        }
        daemons.truncate(count);
        daemons
    }

    /// Returns the answers to another daemon's message, other than statements that are told;
    /// `held` is what this daemon holds.
    #[must_use]
    pub fn answer(&self, message: &Message, held: &[Statement]) -> Vec<Message> {
        match message {
            Message::Digest(digest) if *digest == Digest::new(held) => Vec::new(),
            // A daemon that holds nothing, for example as it has just started, lacks everything.
            Message::Digest(digest) if digest.count == 0 => tell(&held.iter().collect::<Vec<_>>()),
            Message::Digest(_) => {
                let ids = held.iter().take(HELD_MAX).map(Statement::id);
                vec![Message::Held(ids.collect())]
            }
            Message::Held(ids) => self.reconcile(ids, held),
            Message::Wanted(ids) => {
                let ids: HashSet<u64> = ids.iter().copied().take(HELD_MAX).collect();
                let wanted = held.iter().filter(|it| ids.contains(&it.id()));
                tell(&wanted.collect::<Vec<_>>())
            }
            Message::Statements(_) | Message::Changes(_) => Vec::new(),
        }
    }

    /// Forgets what was told long ago.
    fn expire(&mut self, now: Instant) {
        while let Some((added_at, key)) = self.told_order.front().copied() {
            let is_over = self.told_order.len() > TOLD_MAX;
            if !is_over && now.since(added_at) < TOLD_TIME {
                return;
            }
            self.told_order.pop_front();
            self.told.remove(&key);
        }
    }

    /// Returns what the other daemon lacks, and asks for what this one lacks.
    fn reconcile(&self, ids: &[u64], held: &[Statement]) -> Vec<Message> {
        let theirs: HashSet<u64> = ids.iter().copied().take(HELD_MAX).collect();
        let ours: HashSet<u64> = held.iter().map(Statement::id).collect();
        let lacking = held.iter().filter(|it| !theirs.contains(&it.id()));
        let mut answers = tell(&lacking.collect::<Vec<_>>());
        let is_settled = |id: &u64| self.told.get(id).is_some_and(|told| told.is_settled);
        let mut wanted: Vec<u64> = theirs
            .into_iter()
            .filter(|id| !ours.contains(id) && !is_settled(id))
            .collect();
        wanted.sort_unstable();
        if !wanted.is_empty() {
            answers.push(Message::Wanted(wanted));
        }
        answers
    }

    /// Records that a statement is told; returns whether it is new.
    fn record(&mut self, statement: &Statement, now: Instant) -> bool {
        let key = statement.key();
        match self.told.get_mut(&key) {
            Some(told) if !statement.renews(told) => return false,
            Some(told) => *told = statement.told(),
            None => {
                self.told.insert(key, statement.told());
                self.told_order.push_back((now, key));
                self.expire(now);
            }
        }
        true
    }
}

/// Returns messages that tell these statements.
fn tell(statements: &[&Statement]) -> Vec<Message> {
    let statements = &statements[..statements.len().min(ANSWER_MAX)];
    let groups = statements.chunk_by(|left, right| left.message_group() == right.message_group());
    let chunks = groups.flat_map(|statements| statements.chunks(STATEMENTS_MAX));
    let messages = chunks.map(|chunk| {
        let statements = chunk.iter().map(|it| (*it).clone());
        Message::Statements(statements.collect())
    });
    messages.collect()
}

fn push_bounded(queue: &mut VecDeque<Statement>, statement: Statement) {
    if queue.len() < HELD_MAX {
        queue.push_back(statement);
    }
}
