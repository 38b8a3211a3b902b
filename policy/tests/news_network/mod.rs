//! Exchange of news between the daemons of a fleet in virtual time.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::collections::VecDeque;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::{Broadcast, Digest, Message, Push, Statement};
use ragwortgrade_policy::gateway::{Evidence, Quarantine};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Time until a message arrives, with the time for which news is collected.
const DELAY: Duration = Duration::from_millis(6);
/// Interval at which a daemon compares what it holds with others, and the number of these.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
const COMPARED_DAEMONS: usize = 2;
/// Bytes of a datagram without its content, of an ID, and of a statement: those of a lost run with
/// three parts.
const DATAGRAM_BYTES: usize = 60;
const ID_BYTES: usize = 10;
const STATEMENT_BYTES: usize = 75;

/// Exchange of evidence between the daemons of a fleet in virtual time.
#[derive(Debug)]
pub struct NewsNetwork {
    random: ChaCha8Rng,
    broadcasts: Vec<Broadcast>,
    compare_at: Vec<Instant>,
    /// Time of arrival, sender, recipient.
    in_flight: VecDeque<(Instant, usize, usize, Message)>,
    lost_messages: f64,
    /// Daemons that can only reach each other.
    pub cut_off: Vec<bool>,
    /// Bytes that each daemon has sent.
    pub sent_bytes: Vec<usize>,
}

impl NewsNetwork {
    pub fn new(daemons: usize, seed: u64, lost_messages: f64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let compare_at = (0..daemons).map(|_| {
            let offset = random.random_range(0..COMPARE_INTERVAL.as_millis() as u64);
            Instant::from_millis(offset)
        });
        Self {
            compare_at: compare_at.collect(),
            broadcasts: (0..daemons as u64).map(Broadcast::new).collect(),
            random,
            in_flight: VecDeque::new(),
            lost_messages,
            cut_off: vec![false; daemons],
            sent_bytes: vec![0; daemons],
        }
    }

    /// Starts a daemon anew.
    pub fn restart(&mut self, daemon: usize) {
        self.broadcasts[daemon] = Broadcast::new(daemon as u64);
    }

    /// Lets a daemon tell the others something.
    pub fn publish(&mut self, daemon: usize, statement: Statement, now: Instant) {
        self.broadcasts[daemon].publish(statement, now);
    }

    /// Sends and delivers what is due. Returns what daemons accepted that is no evidence.
    pub fn step(&mut self, daemons: &mut [Quarantine], now: Instant) -> Vec<(usize, Statement)> {
        let mut accepted = Vec::new();
        while self.in_flight.front().is_some_and(|(due, ..)| *due <= now) {
            if let Some((_, sender, recipient, message)) = self.in_flight.pop_front() {
                let others = self.deliver(sender, recipient, message, &mut daemons[recipient], now);
                accepted.extend(others.into_iter().map(|statement| (recipient, statement)));
            }
        }
        for (daemon, quarantine) in daemons.iter_mut().enumerate() {
            for statement in quarantine.take_news() {
                self.broadcasts[daemon].publish(statement, now);
            }
            while let Some(Push {
                statements,
                recipients,
            }) = self.broadcasts[daemon].next_push()
            {
                self.send_to_random(daemon, recipients, &Message::Statements(statements), now);
            }
            if self.compare_at[daemon] <= now {
                self.compare_at[daemon] = now + COMPARE_INTERVAL;
                let digest = Digest::new(&held(quarantine));
                self.send_to_random(daemon, COMPARED_DAEMONS, &Message::Digest(digest), now);
            }
        }
        accepted
    }

    fn send_to_random(&mut self, sender: usize, count: usize, message: &Message, now: Instant) {
        let others = (0..self.broadcasts.len()).filter(|it| *it != sender);
        for recipient in self.broadcasts[sender].choose(others.collect(), count) {
            self.send(sender, recipient, message.clone(), now);
        }
    }

    fn send(&mut self, sender: usize, recipient: usize, message: Message, now: Instant) {
        self.sent_bytes[sender] += DATAGRAM_BYTES
            + match &message {
                Message::Digest(_) | Message::Changes(_) => ID_BYTES,
                Message::Held(ids) | Message::Wanted(ids) => ids.len() * ID_BYTES,
                Message::Statements(statements) => statements.len() * STATEMENT_BYTES,
            };
        let is_reachable = self.cut_off[sender] == self.cut_off[recipient];
        if is_reachable && !self.random.random_bool(self.lost_messages) {
            self.in_flight
                .push_back((now + DELAY, sender, recipient, message));
        }
    }

    fn deliver(
        &mut self,
        sender: usize,
        recipient: usize,
        message: Message,
        quarantine: &mut Quarantine,
        now: Instant,
    ) -> Vec<Statement> {
        let broadcast = &mut self.broadcasts[recipient];
        let Message::Statements(statements) = message else {
            for answer in broadcast.answer(&message, &held(quarantine)) {
                self.send(recipient, sender, answer, now);
            }
            return Vec::new();
        };
        let mut evidence = Evidence::default();
        let mut others = Vec::new();
        for statement in broadcast.receive(statements, now) {
            match statement {
                Statement::LostRun(run) => evidence.lost_runs.push(run),
                Statement::Begun { identity, at } => evidence.begun.push((identity, at)),
                other => others.push(other),
            }
        }
        quarantine.merge(evidence, now);
        others
    }
}

fn held(quarantine: &Quarantine) -> Vec<Statement> {
    let evidence = quarantine.evidence();
    let begun = evidence.begun.into_iter();
    let lost_runs = evidence.lost_runs.into_iter().map(Statement::LostRun);
    lost_runs
        .chain(begun.map(|(identity, at)| Statement::Begun { identity, at }))
        .collect()
}
