use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{Member, MemberState};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use super::dissemination::transmissions_for;
use crate::Instant;

/// Time within which a suspect must refute the suspicion, or else it counts as dead.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a dead member is retained, so that a delayed update does not restore it.
const DEAD_RETENTION: Duration = Duration::from_mins(2);
/// Updates in one exchange; about 200 bytes each.
const UPDATES_MAX: usize = 8;
/// Members of this data centre that are contacted each round.
const LOCAL_TARGETS: usize = 2;
/// Interval in rounds at which a dead member is contacted, so that the sides of a healed partition
/// merge.
const DEAD_PROBE_PERIOD: u64 = 4;

/// Membership list: the daemons of all data centres, as known to one daemon.
#[derive(Debug)]
pub struct Roster {
    own: Member,
    others: BTreeMap<Name, Entry>,
    /// Number of rounds so far.
    round: u64,
    random: ChaCha8Rng,
}

/// A daemon to exchange gossip with in this round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identity of the daemon.
    pub id: Name,
    /// Address of the daemon.
    pub address: String,
    /// Whether the daemon is in another data centre.
    pub is_remote: bool,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    changed: Instant,
    transmissions_left: u32,
}

impl Roster {
    /// Creates a roster that contains only its own daemon.
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

    /// Marks this daemon as draining and disseminates the change.
    pub fn drain(&mut self) {
        self.own.identity.draining = true;
        self.advance_heartbeat(self.own.heartbeat);
    }

    /// Returns the daemons that are not known to be dead, including this one, sorted by name.
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

    /// Returns the entry of a daemon, dead or not.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Member> {
        if *self.own.identity.id == *id {
            return Some(&self.own);
        }
        self.others.get(id).map(|entry| &entry.member)
    }

    /// Chooses the daemons to contact in the next round. With probability `remote_probability`, one
    /// of another data centre is among them; every few rounds, a dead one is, too.
    pub fn targets(&mut self, remote_probability: f64) -> Vec<Target> {
        self.round += 1;
        let mut targets = self.choose(LOCAL_TARGETS, |member, own| {
            member.state != MemberState::Dead
                && member.identity.data_centre == own.identity.data_centre
        });
        if self.random.random_bool(remote_probability.clamp(0.0, 1.0)) {
            targets.extend(self.choose(1, |member, own| {
                member.state != MemberState::Dead
                    && member.identity.data_centre != own.identity.data_centre
            }));
        }
        if self.round.is_multiple_of(DEAD_PROBE_PERIOD) {
            targets.extend(self.choose(1, |member, _| member.state == MemberState::Dead));
        }
        targets
    }

    /// Chooses all daemons of this data centre and one of each other that are not known to be dead,
    /// for updates that must spread within seconds.
    pub fn broadcast_targets(&mut self) -> Vec<Target> {
        let own_data_centre = self.own.identity.data_centre.clone();
        let mut targets = self.choose(usize::MAX, |member, own| {
            member.state != MemberState::Dead
                && member.identity.data_centre == own.identity.data_centre
        });
        let other_data_centres: BTreeSet<Name> = self
            .others
            .values()
            .map(|entry| entry.member.identity.data_centre.clone())
            .filter(|data_centre| *data_centre != own_data_centre)
            .collect();
        for data_centre in other_data_centres {
            targets.extend(self.choose(1, |member, _| {
                member.state != MemberState::Dead && member.identity.data_centre == data_centre
            }));
        }
        targets
    }

    /// Merges the membership updates of another daemon.
    pub fn merge(&mut self, members: &[Member], now: Instant) {
        for member in members {
            self.merge_one(member, now);
        }
    }

    /// Records whether a daemon answered.
    pub fn record_probe(&mut self, id: &str, answered: bool, now: Instant) {
        let transmissions = transmissions_for(self.others.len() + 1);
        let Some(entry) = self.others.get_mut(id) else {
            return;
        };
        match (answered, entry.member.state) {
            (false, MemberState::Alive) => {
                entry.set_state(MemberState::Suspect, transmissions, now);
            }
            // A direct answer shows that the daemon is alive. It refutes the suspicion towards the
            // others itself.
            (true, MemberState::Suspect) => entry.member.state = MemberState::Alive,
            _ => {}
        }
    }

    /// Declares overdue suspects dead and removes members that died long ago.
    pub fn tick(&mut self, now: Instant) {
        let transmissions = transmissions_for(self.others.len() + 1);
        for entry in self.others.values_mut() {
            let is_overdue = now.since(entry.changed) >= SUSPECT_TIMEOUT;
            if entry.member.state == MemberState::Suspect && is_overdue {
                entry.set_state(MemberState::Dead, transmissions, now);
            }
        }
        self.others.retain(|_, entry| {
            entry.member.state != MemberState::Dead || now.since(entry.changed) < DEAD_RETENTION
        });
    }

    /// Returns the updates for the next exchange, starting with this daemon's own entry. Entries of
    /// others are sent a bounded number of times.
    pub fn updates(&mut self) -> Vec<Member> {
        let mut updates = vec![self.own.clone()];
        updates.extend(self.updates_of_others());
        updates
    }

    fn updates_of_others(&mut self) -> Vec<Member> {
        let mut updates = Vec::new();
        let mut unsent: Vec<&mut Entry> = self
            .others
            .values_mut()
            .filter(|entry| entry.transmissions_left > 0)
            .collect();
        unsent.sort_by_key(|entry| std::cmp::Reverse(entry.transmissions_left));
        for entry in unsent.into_iter().take(UPDATES_MAX) {
            entry.transmissions_left -= 1;
            updates.push(entry.member.clone());
        }
        updates
    }

    /// Returns the updates for the answer to `peer`, including the peer's own entry if it is not
    /// considered alive.
    ///
    /// The peer knows whom it contacted, so the answer omits the entry of the answering daemon, the
    /// largest part of an answer without updates.
    ///
    /// The peer's entry informs a daemon that resumes after a pause that the others consider it
    /// dead, even long after the last transmission of that update.
    pub fn updates_for(&mut self, peer: &str) -> Vec<Member> {
        let mut updates = self.updates_of_others();
        let entry_of_peer = self.others.get(peer).map(|entry| &entry.member);
        updates.extend(
            entry_of_peer
                .filter(|member| member.state != MemberState::Alive)
                .cloned(),
        );
        updates
    }

    /// Returns all members, for a daemon that has just started.
    #[must_use]
    pub fn all(&self) -> Vec<Member> {
        let others = self.others.values().map(|entry| entry.member.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    fn merge_one(&mut self, member: &Member, now: Instant) {
        if member.identity.id == self.own.identity.id {
            let is_current = member.identity.incarnation == self.own.identity.incarnation;
            if is_current && member.state != MemberState::Alive {
                self.advance_heartbeat(member.heartbeat);
            }
            return;
        }
        let transmissions_left = transmissions_for(self.others.len() + 1);
        match self.others.get_mut(&member.identity.id) {
            Some(entry) if precedence(member) <= precedence(&entry.member) => {}
            Some(entry) => {
                *entry = Entry {
                    member: member.clone(),
                    changed: now,
                    transmissions_left,
                }
            }
            None => {
                let entry = Entry {
                    member: member.clone(),
                    changed: now,
                    transmissions_left,
                };
                self.others.insert(member.identity.id.clone(), entry);
            }
        }
    }

    /// Raises the heartbeat of the own entry above `heartbeat`, so that it replaces entries of this
    /// daemon with that heartbeat: a suspicion, or its state before a drain.
    fn advance_heartbeat(&mut self, heartbeat: u64) {
        self.own.heartbeat = self.own.heartbeat.max(heartbeat) + 1;
    }

    fn choose(
        &mut self,
        count: usize,
        is_eligible: impl Fn(&Member, &Member) -> bool,
    ) -> Vec<Target> {
        let mut eligible: Vec<&Member> = self
            .others
            .values()
            .map(|entry| &entry.member)
            .filter(|member| is_eligible(member, &self.own))
            .collect();
        let mut targets = Vec::with_capacity(count.min(eligible.len()));
        while targets.len() < count && !eligible.is_empty() {
            let member = eligible.swap_remove(self.random.random_range(0..eligible.len()));
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
    fn set_state(&mut self, state: MemberState, transmissions: u32, now: Instant) {
        self.member.state = state;
        self.changed = now;
        self.transmissions_left = transmissions;
    }
}

/// Orders the entries of one daemon: the later incarnation, then heartbeat, then state wins.
fn precedence(member: &Member) -> (u64, u64, MemberState) {
    (member.identity.incarnation, member.heartbeat, member.state)
}
