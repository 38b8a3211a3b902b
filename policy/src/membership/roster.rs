use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{Member, MemberState};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use super::spread::sends_for;
use crate::Instant;

/// A suspect that does not refute within this time is dead.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// A dead member is kept this long, so that old news of it does not bring it back.
const FORGET_TIMEOUT: Duration = Duration::from_mins(2);
/// Pieces of news in one exchange; about 200 bytes each.
const NEWS_MAX: usize = 8;
/// Members of this data centre that are contacted each round.
const LOCAL_TARGETS: usize = 2;
/// Every so many rounds a dead member is tried, so that the sides of a healed partition meet.
const DEAD_PERIOD: u64 = 4;

/// The daemons of all data centres, as one daemon knows them.
#[derive(Debug)]
pub struct Roster {
    own: Member,
    others: BTreeMap<Name, Entry>,
    round: u64,
    random: ChaCha8Rng,
}

/// A daemon to exchange gossip with in this round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The daemon.
    pub id: Name,
    /// Its address.
    pub address: String,
    /// It stands in another data centre.
    pub is_remote: bool,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    changed: Instant,
    sends_left: u32,
}

impl Roster {
    /// Opens a roster that knows only its own daemon.
    #[must_use]
    pub fn open(own: Member, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            own,
            others: BTreeMap::new(),
            round: 0,
            random,
        }
    }

    /// Marks the own daemon as draining and spreads it.
    pub fn drain(&mut self) {
        self.own.identity.draining = true;
        self.refute(self.own.heartbeat);
    }

    /// Returns the daemons that are not known dead, the own one included, sorted by name.
    #[must_use]
    pub fn live(&self) -> Vec<Member> {
        let mut live: Vec<Member> = self
            .others
            .values()
            .filter(|entry| entry.member.state != MemberState::Dead)
            .map(|entry| entry.member.clone())
            .collect();
        live.push(self.own.clone());
        live.sort_by(|left, right| left.identity.id.cmp(&right.identity.id));
        live
    }

    /// Returns what is known of a daemon, dead or not.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Member> {
        if *self.own.identity.id == *id {
            return Some(&self.own);
        }
        self.others.get(id).map(|entry| &entry.member)
    }

    /// Chooses the daemons to contact in the next round, with probability `remote_chance` one of
    /// another data centre among them.
    pub fn targets(&mut self, remote_chance: f64) -> Vec<Target> {
        self.round += 1;
        let mut targets = self.choose(LOCAL_TARGETS, |entry, own| {
            entry.state != MemberState::Dead
                && entry.identity.data_centre == own.identity.data_centre
        });
        if self.random.random_bool(remote_chance.clamp(0.0, 1.0)) {
            targets.extend(self.choose(1, |entry, own| {
                entry.state != MemberState::Dead
                    && entry.identity.data_centre != own.identity.data_centre
            }));
        }
        if self.round.is_multiple_of(DEAD_PERIOD) {
            targets.extend(self.choose(1, |entry, _| entry.state == MemberState::Dead));
        }
        targets
    }

    /// Chooses all daemons of this data centre and one of each other, for news that must be known
    /// within seconds.
    pub fn all_targets(&mut self) -> Vec<Target> {
        let own = self.own.identity.data_centre.clone();
        let mut targets = self.choose(usize::MAX, |entry, own| {
            entry.state != MemberState::Dead
                && entry.identity.data_centre == own.identity.data_centre
        });
        let others: BTreeSet<Name> = self
            .others
            .values()
            .map(|entry| entry.member.identity.data_centre.clone())
            .filter(|data_centre| *data_centre != own)
            .collect();
        for data_centre in others {
            targets.extend(self.choose(1, |entry, _| {
                entry.state != MemberState::Dead && entry.identity.data_centre == data_centre
            }));
        }
        targets
    }

    /// Takes in what another daemon said of the members at `now`.
    pub fn absorb(&mut self, members: &[Member], now: Instant) {
        for member in members {
            self.absorb_one(member, now);
        }
    }

    /// Takes in that a daemon answered, or that it did not.
    pub fn probed(&mut self, id: &str, answered: bool, now: Instant) {
        let sends = sends_for(self.others.len() + 1);
        let Some(entry) = self.others.get_mut(id) else {
            return;
        };
        match (answered, entry.member.state) {
            (false, MemberState::Alive) => entry.become_state(MemberState::Suspect, sends, now),
            // A direct answer shows that the daemon lives; it refutes towards the others itself.
            (true, MemberState::Suspect) => entry.member.state = MemberState::Alive,
            _ => {}
        }
    }

    /// Lets suspects die and forgets members that died long ago.
    pub fn tick(&mut self, now: Instant) {
        let sends = sends_for(self.others.len() + 1);
        for entry in self.others.values_mut() {
            let is_overdue = now.since(entry.changed) >= SUSPECT_TIMEOUT;
            if entry.member.state == MemberState::Suspect && is_overdue {
                entry.become_state(MemberState::Dead, sends, now);
            }
        }
        self.others.retain(|_, entry| {
            entry.member.state != MemberState::Dead || now.since(entry.changed) < FORGET_TIMEOUT
        });
    }

    /// Returns the news for the next exchange, the own entry first; that of others is passed on a
    /// bounded number of times.
    pub fn news(&mut self) -> Vec<Member> {
        let mut news = vec![self.own.clone()];
        news.extend(self.news_of_others());
        news
    }

    fn news_of_others(&mut self) -> Vec<Member> {
        let mut news = Vec::new();
        let mut fresh: Vec<&mut Entry> = self
            .others
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in fresh.into_iter().take(NEWS_MAX) {
            entry.sends_left -= 1;
            news.push(entry.member.clone());
        }
        news
    }

    /// Returns the news for the answer to `peer`, with its own entry when it is not known alive.
    ///
    /// The peer knows whom it asked, so the answer omits the own entry, the largest part of a quiet
    /// answer.
    ///
    /// A daemon that resumes after a pause learns in this way that the others took it for dead,
    /// long after the news of its death was passed on for the last time.
    pub fn news_for(&mut self, peer: &str) -> Vec<Member> {
        let mut news = self.news_of_others();
        let believed = self.others.get(peer).map(|entry| &entry.member);
        news.extend(
            believed
                .filter(|member| member.state != MemberState::Alive)
                .cloned(),
        );
        news
    }

    /// Returns every member, for a daemon that has just started.
    #[must_use]
    pub fn everyone(&self) -> Vec<Member> {
        let others = self.others.values().map(|entry| entry.member.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    fn absorb_one(&mut self, member: &Member, now: Instant) {
        if member.identity.id == self.own.identity.id {
            let is_current = member.identity.incarnation == self.own.identity.incarnation;
            if is_current && member.state != MemberState::Alive {
                self.refute(member.heartbeat);
            }
            return;
        }
        let sends_left = sends_for(self.others.len() + 1);
        match self.others.get_mut(&member.identity.id) {
            Some(entry) if precedence(member) <= precedence(&entry.member) => {}
            Some(entry) => {
                *entry = Entry {
                    member: member.clone(),
                    changed: now,
                    sends_left,
                }
            }
            None => {
                let entry = Entry {
                    member: member.clone(),
                    changed: now,
                    sends_left,
                };
                self.others.insert(member.identity.id.clone(), entry);
            }
        }
    }

    fn refute(&mut self, heartbeat: u64) {
        self.own.heartbeat = self.own.heartbeat.max(heartbeat) + 1;
    }

    fn choose(
        &mut self,
        count: usize,
        is_wanted: impl Fn(&Member, &Member) -> bool,
    ) -> Vec<Target> {
        let mut wanted: Vec<&Member> = self
            .others
            .values()
            .map(|entry| &entry.member)
            .filter(|member| is_wanted(member, &self.own))
            .collect();
        let mut targets = Vec::with_capacity(count.min(wanted.len()));
        while targets.len() < count && !wanted.is_empty() {
            let member = wanted.swap_remove(self.random.random_range(0..wanted.len()));
            targets.push(Target {
                id: member.identity.id.clone(),
                address: member.address.clone(),
                is_remote: member.identity.data_centre != self.own.identity.data_centre,
            });
        }
        targets
    }
}

impl Entry {
    fn become_state(&mut self, state: MemberState, sends: u32, now: Instant) {
        self.member.state = state;
        self.changed = now;
        self.sends_left = sends;
    }
}

/// Orders what is said of one daemon: a later incarnation, heartbeat and state win.
fn precedence(member: &Member) -> (u64, u64, MemberState) {
    (member.identity.incarnation, member.heartbeat, member.state)
}
