//! Candidates, a store and a platform in virtual time, with faults drawn from a seed.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::{Answer, Call, Holder, HolderRecord, LockRecord, Timestamp};
use ragwortgrade_policy::gateway::duties::{
    Election, Reports, Step, Store as Records, TenantCounts, Timing, UsageRecord,
};
use ragwortgrade_schema::Name;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const DAEMONS: usize = 3;
const STEP_MS: u64 = 50;
const WINDOW_MS: u64 = 1_000;
const START_MS: u64 = 1_000_000;
const LEASE_MS: u64 = 3_000;

/// Mechanism that a negative control disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// A new holder acts at once.
    InitialWait,
    /// A holder acts although its lease may have ended.
    LeaseCheck,
    /// Tokens follow only from the holder record.
    TokenFloor,
    /// A report is sent without a record in the store.
    Record,
    /// After a restore, windows that may have been reported are reported by the own counts.
    RestoreSkip,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    LowerToken,
    SharedToken,
    FormerHolderReturned,
    SecondContent(u64),
}

#[derive(Clone, Debug, Default)]
struct Store {
    lock: Option<(LockRecord, u64)>,
    record: Option<(HolderRecord, u64)>,
    usage: BTreeMap<u64, UsageRecord>,
    /// End of each lease.
    leases: BTreeMap<u64, u64>,
    last_lease: u64,
    revision: u64,
}

/// Write that the store executes later, if its condition holds then.
enum Late {
    Election(Call),
    Usage(Step, u64),
}

struct Daemon {
    name: Name,
    election: Election,
    reports: Reports,
    restores: u64,
    era: u64,
    restored_ms: u64,
    begun: Option<u64>,
    /// Suspended time, which the monotonic clock does not count.
    suspended_ms: u64,
    frozen_until: u64,
    cut_until: u64,
    last_token: Option<u64>,
}

struct Action {
    at: u64,
    daemon: usize,
    token: u64,
}

pub struct Simulation {
    random: ChaCha8Rng,
    disabled: Disabled,
    now_ms: u64,
    store: Store,
    era: u64,
    copies: Vec<Store>,
    late: Vec<(u64, Late)>,
    daemons: Vec<Daemon>,
    actions: Vec<Action>,
    sent: BTreeMap<u64, TenantCounts>,
    pub violation: Option<Violation>,
    restores_left: u32,
}

impl Simulation {
    pub fn new(seed: u64, disabled: Disabled) -> Self {
        let daemon = |index: usize| {
            let timing = Timing::new(Duration::from_millis(LEASE_MS), Duration::from_millis(300));
            let name = Name::from(format!("d{index}"));
            let own = Holder {
                daemon: name.clone(),
                incarnation: 100 + index as u64,
                address: String::new(),
                listed: false,
            };
            let jitter = Duration::from_millis(60 * index as u64);
            Daemon {
                name,
                election: Election::open(timing, own, jitter, Instant::from_millis(START_MS)),
                reports: Reports::new(Duration::from_millis(WINDOW_MS), Duration::from_secs(4)),
                restores: 0,
                era: 1,
                restored_ms: START_MS,
                begun: None,
                suspended_ms: 0,
                frozen_until: 0,
                cut_until: 0,
                last_token: None,
            }
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            disabled,
            now_ms: START_MS,
            store: Store::default(),
            era: 1,
            copies: Vec::new(),
            late: Vec::new(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            actions: Vec::new(),
            sent: BTreeMap::new(),
            violation: None,
            restores_left: 2,
        }
    }

    /// Returns the windows that were reported.
    pub fn reported(&self) -> usize {
        self.sent.len()
    }

    /// Runs for this time without faults.
    pub fn run_quietly(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step(false);
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step(true);
            if self.violation.is_some() {
                return;
            }
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1_000) < per_mille
    }

    fn step(&mut self, has_faults: bool) {
        self.now_ms += STEP_MS;
        if self.now_ms.is_multiple_of(500) {
            self.copies.push(self.store.clone());
        }
        if has_faults {
            self.inject();
        }
        self.expire_leases();
        let now_ms = self.now_ms;
        let due: Vec<_> = self.late.extract_if(.., |(at, _)| *at <= now_ms).collect();
        for (_, late) in due {
            match late {
                Late::Election(call) => drop(self.execute(&call)),
                Late::Usage(step, revision) => drop(self.execute_record(&step, revision)),
            }
        }
        for index in 0..DAEMONS {
            if self.daemons[index].frozen_until <= self.now_ms {
                self.act(index, has_faults);
            } else {
                self.daemons[index].suspended_ms += STEP_MS;
            }
        }
    }

    fn inject(&mut self) {
        let index = self.random.random_range(0..DAEMONS);
        let time = self.random.random_range(500..7_000);
        match self.random.random_range(0..1_000) {
            0..4 => self.daemons[index].frozen_until = self.now_ms + time,
            4..8 => self.daemons[index].cut_until = self.now_ms + time,
            8..10 => self.restore(),
            _ => {}
        }
    }

    /// Restores the store from a copy of the last seconds.
    fn restore(&mut self) {
        if self.restores_left == 0 || self.copies.len() <= 12 {
            return;
        }
        let age = self.random.random_range(1..12);
        self.store = self.copies[self.copies.len() - age].clone();
        self.copies.clear();
        self.era += 1;
        self.restores_left -= 1;
    }

    fn expire_leases(&mut self) {
        let now_ms = self.now_ms;
        self.store.leases.retain(|_, end| *end > now_ms);
        let leases = &self.store.leases;
        let lock = self.store.lock.take();
        self.store.lock = lock.filter(|(lock, _)| leases.contains_key(&lock.lease));
    }

    fn now(&self, index: usize) -> Timestamp {
        Timestamp {
            monotonic: Instant::from_millis(self.now_ms - self.daemons[index].suspended_ms),
            unix_ms: self.now_ms,
        }
    }

    fn act(&mut self, index: usize, has_faults: bool) {
        let now = self.now(index);
        let (restores, era) = (self.daemons[index].restores, self.daemons[index].era);
        let election = &mut self.daemons[index].election;
        election.set_candidate(true);
        election.set_store(restores, Some(era));
        if let Some(call) = election.next_call(now) {
            let answer = self.answer(index, &call, has_faults);
            self.daemons[index].election.handle_answer(answer, now);
        }
        self.report(index, has_faults);
    }

    /// Returns the token with which a daemon acts now.
    fn token(&mut self, index: usize) -> Option<u64> {
        let now = self.now(index);
        let disabled = self.disabled;
        let daemon = &mut self.daemons[index];
        let token = match disabled {
            Disabled::InitialWait if daemon.election.is_held(now) => {
                Some(daemon.election.highest_token())
            }
            _ => daemon.election.tenure(now).map(|(token, _)| token),
        };
        daemon.last_token = token.or(daemon.last_token);
        if disabled == Disabled::LeaseCheck {
            return daemon.last_token;
        }
        token
    }

    /// Notices a restore; returns whether the answer is to be discarded.
    fn observe_era(&mut self, index: usize) -> bool {
        let daemon = &mut self.daemons[index];
        if daemon.era == self.era {
            return false;
        }
        daemon.era = self.era;
        daemon.restores += 1;
        daemon.restored_ms = self.now_ms;
        daemon.reports.store_restored(Some(self.era));
        true
    }

    fn answer(&mut self, index: usize, call: &Call, has_faults: bool) -> Answer {
        if *call == Call::QueryFences {
            if self.disabled == Disabled::TokenFloor {
                return Answer::HighestFence(0);
            }
            let election = &self.daemons[index].election;
            return Answer::HighestFence(election.token_floor(self.now(index)));
        }
        let is_write = matches!(call, Call::CreateLock(_) | Call::WriteRecord { .. });
        if self.daemons[index].cut_until > self.now_ms {
            return Answer::Failed;
        }
        if has_faults && is_write && self.chance(40) {
            let at = self.now_ms + self.random.random_range(50..3_000);
            self.late.push((at, Late::Election(call.clone())));
            return Answer::Lost;
        }
        let answer = self.execute(call);
        if self.observe_era(index) || (has_faults && self.chance(15)) {
            return Answer::Lost;
        }
        answer
    }

    fn execute(&mut self, call: &Call) -> Answer {
        let store = &mut self.store;
        match call {
            Call::ReadLock => Answer::Lock(store.lock.clone()),
            Call::OpenLease => {
                store.last_lease += 1;
                store
                    .leases
                    .insert(store.last_lease, self.now_ms + LEASE_MS * 2 / 3);
                Answer::Granted(store.last_lease)
            }
            Call::CreateLock(lock) => {
                if store.lock.is_some() {
                    return Answer::Conflict;
                }
                if !store.leases.contains_key(&lock.lease) {
                    return Answer::Ended;
                }
                store.revision += 1;
                store.lock = Some((lock.clone(), store.revision));
                Answer::Written(store.revision)
            }
            Call::ReadRecord => Answer::HolderRecord(store.record.clone()),
            Call::QueryFences => Answer::HighestFence(0),
            Call::WriteRecord { expect, record } => {
                if store.record.as_ref().map_or(0, |(_, revision)| *revision) != *expect {
                    return Answer::Conflict;
                }
                store.revision += 1;
                store.record = Some((record.clone(), store.revision));
                Answer::Written(store.revision)
            }
            Call::KeepAlive(lease) => match store.leases.get_mut(lease) {
                Some(end) => {
                    *end = self.now_ms + LEASE_MS * 2 / 3;
                    Answer::Done
                }
                None => Answer::Ended,
            },
            Call::Revoke(lease) => {
                store.leases.remove(lease);
                Answer::Done
            }
        }
    }

    /// Writes a usage record; `None` if a condition does not hold.
    fn execute_record(&mut self, step: &Step, revision: u64) -> Option<()> {
        let record_revision = self.store.record.as_ref().map(|(_, revision)| *revision);
        let is_free = !self.store.usage.contains_key(&step.window);
        if !is_free || record_revision != Some(revision) {
            return None;
        }
        self.store.revision += 1;
        self.store.usage.insert(step.window, step.record.clone());
        for window in &step.remove {
            self.store.usage.remove(window);
        }
        Some(())
    }

    fn report(&mut self, index: usize, has_faults: bool) {
        let Some(token) = self.token(index) else {
            self.daemons[index].reports.end();
            self.daemons[index].begun = None;
            return;
        };
        let can_call = self.daemons[index].cut_until <= self.now_ms;
        if can_call && !self.observe_era(index) {
            if self.daemons[index].begun == Some(token) {
                self.record(index, has_faults);
            } else {
                self.begin(index, token);
            }
        }
        let Some((window, counts)) = self.daemons[index].reports.next_report() else {
            return;
        };
        self.send(index, token, window, &counts);
        let is_lost = has_faults && self.chance(200);
        if !is_lost {
            self.daemons[index].reports.report_accepted(window);
        }
    }

    fn begin(&mut self, index: usize, token: u64) {
        let daemon = &mut self.daemons[index];
        let mut restored_ms = daemon.restored_ms;
        if self.disabled == Disabled::RestoreSkip {
            restored_ms = START_MS;
        }
        let skipped = daemon.reports.begin(&Records {
            records: self.store.usage.clone(),
            era: Some(daemon.era),
            restored_ms,
            tenure_ms: self.now_ms,
            recorded_since_ms: u64::MAX,
            is_first_holder: daemon.election.is_first_holder(),
        });
        drop(skipped);
        daemon.begun = Some(token);
    }

    fn record(&mut self, index: usize, has_faults: bool) {
        let now = self.now(index);
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[index];
        let Some(revision) = daemon.election.record_revision(now) else {
            return;
        };
        let step = daemon.reports.lost_record().or_else(|| {
            let window = daemon.reports.due_window(now_ms)?;
            // Daemons know different counts.
            let counts = TenantCounts::from([(daemon.name.clone(), window)]);
            Some(daemon.reports.fix(window, counts))
        });
        let Some(step) = step else {
            return;
        };
        if self.disabled == Disabled::Record {
            let counts = step.record.counts.clone();
            daemon.reports.recorded(&step, counts);
            return;
        }
        if has_faults && self.chance(60) {
            let at = self.now_ms + self.random.random_range(50..3_000);
            self.late.push((at, Late::Usage(step, revision)));
            return;
        }
        let is_written = self.execute_record(&step, revision).is_some();
        if has_faults && self.chance(60) {
            return;
        }
        let stored = self.store.usage.get(&step.window);
        let counts = match stored {
            Some(_) if is_written => step.record.counts.clone(),
            Some(stored) => stored.counts.clone(),
            None => return,
        };
        self.daemons[index].reports.recorded(&step, counts.clone());
        for other in 0..DAEMONS {
            let is_up = self.daemons[other].frozen_until <= self.now_ms;
            if other != index && is_up && !self.chance(300) {
                self.daemons[other]
                    .reports
                    .learn(step.window, counts.clone());
            }
        }
    }

    /// Sends a report to the platform and checks it against the earlier ones.
    fn send(&mut self, daemon: usize, token: u64, window: u64, counts: &TenantCounts) {
        let at = self.now_ms;
        let known = self.sent.entry(window).or_insert_with(|| counts.clone());
        if known != counts {
            self.violation
                .get_or_insert(Violation::SecondContent(window));
        }
        for earlier in &self.actions {
            if earlier.token > token {
                self.violation.get_or_insert(Violation::LowerToken);
            }
            if earlier.token == token && earlier.daemon != daemon {
                self.violation.get_or_insert(Violation::SharedToken);
            }
        }
        let acted = |action: &Action| action.daemon == daemon;
        let last_other = self.actions.iter().rposition(|action| !acted(action));
        let is_return = last_other
            .is_some_and(|other| other + 1 == self.actions.len() && self.actions.iter().any(acted));
        if let Some(other) = last_other.filter(|_| is_return)
            && at - self.actions[other].at < LEASE_MS
        {
            self.violation
                .get_or_insert(Violation::FormerHolderReturned);
        }
        self.actions.push(Action { at, daemon, token });
    }
}
