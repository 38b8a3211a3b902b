//! Spread of what daemons learn, in fleets of up to 1,000 daemons.

mod news_network;

use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::{Broadcast, ByteBudget, Digest, Message, Statement};
use ragwortgrade_policy::gateway::{
    DepartureReport, Fingerprint, KeyChanges, LostRun, Quarantine, RateReport, RegistrationBatch,
    RegistrationChange, RegistrationContent, RegistrationSource,
};
use ragwortgrade_testutil::named_cases;

use news_network::NewsNetwork;

const STEP: Duration = Duration::from_millis(4);
const CRASHES: usize = 50;
/// Runs without output that each crash loses.
const RUNS_PER_CRASH: usize = 1;
const LOST_MESSAGES: f64 = 0.02;
/// Time within which all daemons in touch must know, the shortest of the deployments.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Average number of bytes per second and daemon while the crashes are told: a quarter of what
/// daemons may send each other on a link of 20 Mbit/s.
const BUSY_BYTES_PER_SECOND_MAX: f64 = 75_000.0;
/// The same long after them.
const IDLE_BYTES_PER_SECOND_MAX: f64 = 1_000.0;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn lost_run(number: usize, now: Instant) -> LostRun {
    LostRun {
        endpoint: format!("i-{}", number / RUNS_PER_CRASH).into(),
        endpoint_started_ms: 0,
        at: now,
        parts: vec![1, 1_000 + number as u64],
        content: Some(2_000 + number as u64),
    }
}

struct Fleet {
    daemons: Vec<Quarantine>,
    network: NewsNetwork,
    now: Instant,
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        Self {
            daemons: (0..daemons).map(|_| Quarantine::default()).collect(),
            network: NewsNetwork::new(daemons, 7, LOST_MESSAGES),
            now: at(1_000),
        }
    }

    /// Lets all engines crash at once; each run is lost at another daemon.
    fn crash_engines(&mut self) {
        for number in 0..CRASHES * RUNS_PER_CRASH {
            let daemon = number * 37 % self.daemons.len();
            let lost_run = lost_run(number, self.now);
            self.daemons[daemon].record_lost_run(lost_run, self.now);
        }
    }

    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.network.step(&mut self.daemons, self.now);
        }
    }

    /// Returns how many daemons lack a lost run.
    fn lacking(&self) -> usize {
        let runs = CRASHES * RUNS_PER_CRASH;
        let lacking = self.daemons.iter().filter(|daemon| {
            let evidence = daemon.evidence();
            evidence.lost_runs.len() < runs
        });
        lacking.count()
    }

    /// Plays for a while and returns the bytes per second that the daemons send on average.
    fn bytes_per_second(&mut self, time: Duration) -> f64 {
        let before: usize = self.network.sent_bytes.iter().sum();
        self.play(time);
        let sent = self.network.sent_bytes.iter().sum::<usize>() - before;
        sent as f64 / self.daemons.len() as f64 / time.as_secs_f64()
    }
}

/// Guards against evidence that fills the links of a large fleet.
fn traffic_is_bounded(daemons: usize) {
    let mut fleet = Fleet::new(daemons);
    fleet.crash_engines();
    let busy = fleet.bytes_per_second(CONTACT_TIME);
    assert!(busy <= BUSY_BYTES_PER_SECOND_MAX, "{busy} bytes per second");
    assert_eq!(fleet.lacking(), 0);
    let idle = fleet.bytes_per_second(CONTACT_TIME);
    assert!(idle <= IDLE_BYTES_PER_SECOND_MAX, "{idle} bytes per second");
}

named_cases! { traffic_is_bounded:
    with_9_daemons(9);
    with_81_daemons(81);
    with_295_daemons(295);
    with_1000_daemons(1_000);
}

/// Guards against daemons that start, or come back from a cut, and do not learn what the others
/// know.
fn all_learn(daemons: usize, cut_off: usize) {
    let mut fleet = Fleet::new(daemons);
    fleet.network.cut_off[..cut_off].fill(true);
    fleet.crash_engines();
    fleet.play(CONTACT_TIME);
    assert!(fleet.lacking() >= cut_off, "the cut has no effect");
    fleet.network.cut_off.fill(false);
    fleet.daemons[0] = Quarantine::default();
    fleet.network.restart(0);
    fleet.play(CONTACT_TIME);
    assert_eq!(fleet.lacking(), 0);
}

named_cases! { all_learn:
    three_of_9(9, 3);
    a_third_of_81(81, 27);
    a_data_centre_of_295(295, 59);
}

fn rate(daemon: &str, version: u64, sent: u32) -> Statement {
    Statement::Rate {
        daemon: daemon.into(),
        started_ms: 1,
        version,
        report: RateReport {
            endpoint: "i-1".into(),
            per_second: Some(5.0),
            named_at: at(100),
            sent,
        },
    }
}

fn departure(said_ms: u64) -> Statement {
    Statement::Departure(DepartureReport {
        endpoint: "i-1".into(),
        started_ms: Some(1),
        said_at: at(said_ms),
    })
}

fn begun(identity: u64, millis: u64) -> Statement {
    Statement::Begun {
        identity,
        at: at(millis),
    }
}

#[test]
fn what_was_told_is_passed_on_once() {
    let mut broadcast = Broadcast::new(1);
    let statement = Statement::LostRun(lost_run(1, at(100)));
    assert_eq!(broadcast.receive(vec![statement.clone()], at(150)).len(), 1);
    assert!(broadcast.next_push().is_some());
    assert!(
        broadcast
            .receive(vec![statement.clone()], at(200))
            .is_empty()
    );
    broadcast.publish(statement, at(250));
    assert_eq!(broadcast.next_push(), None);
}

#[test]
fn what_is_old_is_not_passed_on() {
    let mut broadcast = Broadcast::new(1);
    let statement = Statement::LostRun(lost_run(1, at(100)));
    assert_eq!(broadcast.receive(vec![statement], at(5_000)).len(), 1);
    assert_eq!(broadcast.next_push(), None);
}

/// Guards against numbers of requests that are counted twice, as an older one arrives later.
#[test]
fn an_older_number_of_requests_does_not_replace_a_newer_one() {
    let mut broadcast = Broadcast::new(1);
    let newer = rate("a", 3, 9);
    assert_eq!(broadcast.receive(vec![newer.clone()], at(100)), [newer]);
    assert!(broadcast.receive(vec![rate("a", 2, 5)], at(150)).is_empty());
    assert_eq!(broadcast.receive(vec![rate("b", 2, 5)], at(150)).len(), 1);
}

/// Guards against each of many daemons that tells all others what all of them see.
#[test]
fn what_several_daemons_see_is_told_once() {
    let mut broadcast = Broadcast::new(1);
    broadcast.receive(vec![departure(100), begun(5, 100)], at(150));
    broadcast.next_push();
    broadcast.publish(departure(900), at(900));
    broadcast.publish(begun(5, 900), at(900));
    assert_eq!(broadcast.next_push(), None);
    broadcast.publish(departure(3_000), at(3_000));
    let push = broadcast.next_push().unwrap();
    assert_eq!(push.statements, [departure(3_000)]);
}

#[test]
fn daemons_that_hold_the_same_have_nothing_to_tell() {
    let broadcast = Broadcast::new(1);
    let held = [begun(1, 10), rate("a", 3, 9), departure(100)];
    // They number their requests differently.
    let other = [departure(150), rate("b", 7, 2), begun(1, 20)];
    let digest = Message::Digest(Digest::new(&other));
    assert!(broadcast.answer(&digest, &held).is_empty());
    assert!(!broadcast.answer(&digest, &held[1..]).is_empty());
}

/// Guards against crashes that are blamed on a part again after outputs with it have begun.
#[test]
fn a_settled_run_is_not_asked_for_again() {
    let mut broadcast = Broadcast::new(1);
    let run = Statement::LostRun(lost_run(1, at(100)));
    let held = Message::Held(vec![run.id()]);
    assert_eq!(
        broadcast.answer(&held, &[]),
        [Message::Wanted(vec![run.id()])]
    );
    broadcast.receive(vec![run], at(150));
    assert!(broadcast.answer(&held, &[]).is_empty());
}

/// Guards against a departure that a daemon was told before it knew the endpoint.
#[test]
fn a_departure_that_is_not_held_is_asked_for_again() {
    let mut broadcast = Broadcast::new(1);
    broadcast.receive(vec![departure(100)], at(150));
    let held = Message::Held(vec![departure(100).id()]);
    let wanted = Message::Wanted(vec![departure(100).id()]);
    let asked = broadcast.answer(&held, &[]);
    assert_eq!(asked.as_slice(), std::slice::from_ref(&wanted));
    let told = broadcast.answer(&wanted, &[departure(100)]);
    assert_eq!(told, [Message::Statements(vec![departure(100)])]);
    assert_eq!(broadcast.receive(vec![departure(100)], at(200)).len(), 1);
}

/// Guards against false statements that fill the memory or the links.
#[test]
fn what_waits_to_be_told_is_bounded() {
    let mut broadcast = Broadcast::new(1);
    for number in 0..10_000 {
        let statement = Statement::LostRun(lost_run(number, at(100)));
        broadcast.receive(vec![statement], at(100));
    }
    let pushes = std::iter::from_fn(|| broadcast.next_push());
    let statements: usize = pushes.map(|push| push.statements.len()).sum();
    assert_eq!(statements, 512);
}

/// Guards against messages with so many registrations that they are dropped as too long.
#[test]
fn registrations_that_wait_together_are_told_in_several_messages() {
    let mut broadcast = Broadcast::new(1);
    let batches = (0..4).map(|number| RegistrationBatch {
        source: RegistrationSource::Endpoints,
        era: None,
        after: number,
        revision: number + 1,
        read_at: at(100),
        is_vouched: true,
        changes: vec![RegistrationChange {
            key: "servers/i-1".into(),
            revision: number + 1,
            content: RegistrationContent::Written(vec![0; 6_000]),
        }],
    });
    for batch in batches {
        broadcast.publish(Statement::Registrations(batch), at(100));
    }
    let pushes: Vec<_> = std::iter::from_fn(|| broadcast.next_push()).collect();
    let statements: usize = pushes.iter().map(|push| push.statements.len()).sum();
    assert_eq!(statements, 4);
    for push in pushes {
        let sizes = push.statements.iter().map(|statement| match statement {
            Statement::Registrations(batch) => batch.size(),
            _ => 0,
        });
        // Receivers drop datagrams of more than 16 KiB.
        assert!(sizes.sum::<usize>() < 16 << 10);
    }
}

/// Guards against a restarted daemon that asks for what the others hold one by one.
#[test]
fn a_daemon_that_holds_nothing_is_told_everything() {
    let broadcast = Broadcast::new(1);
    let held: Vec<Statement> = (0..30).map(|it| begun(it, 100)).collect();
    let answers = broadcast.answer(&Message::Digest(Digest::default()), &held);
    let told: usize = answers
        .iter()
        .map(|answer| match answer {
            Message::Statements(statements) => statements.len(),
            _ => 0,
        })
        .sum();
    assert_eq!(told, 30);
}

#[test]
fn a_budget_bounds_the_bytes_of_any_time() {
    let mut budget = ByteBudget::new(1_000.0);
    let mut sent = 0;
    let mut now = at(3_600_000);
    for _ in 0..10_000 {
        now = now + Duration::from_millis(1);
        if budget.spend(300, now) {
            sent += 300;
        }
    }
    // Ten seconds, the burst of one second, and one message.
    assert!((10_000..=11_300).contains(&sent), "{sent}");
    budget.charge(2_000, now);
    let wait = budget.wait_time(now);
    assert!(wait >= Duration::from_millis(1_700), "{wait:?}");
    assert!(!budget.spend(1, now + wait / 2));
    assert!(budget.spend(1, now + wait));
}

/// Guards against a restarted daemon that blames a crash on a part that others have cleared.
#[test]
fn a_cleared_run_does_not_come_back_by_another_copy() {
    let mut quarantine = Quarantine::default();
    let run = lost_run(1, at(100));
    quarantine.record_lost_run(run.clone(), at(100));
    let sound = Fingerprint {
        shared_parts: vec![1],
        content: 0,
    };
    quarantine.record_begin(&sound, at(200));
    let cleared = quarantine.evidence().lost_runs;
    assert!(!cleared[0].parts.contains(&1));
    quarantine.expire(at(60_000));
    let evidence = ragwortgrade_policy::gateway::Evidence {
        lost_runs: vec![run],
        begun: Vec::new(),
    };
    quarantine.merge(evidence, at(60_000));
    assert_eq!(quarantine.evidence().lost_runs, cleared);
}

/// Guards against other news that daemons of earlier builds miss, as they cannot read messages with
/// changes of keys.
#[test]
fn changes_of_keys_are_told_in_messages_of_their_own() {
    let keys = |version| {
        Statement::Keys(KeyChanges {
            version,
            after: version - 1,
            part: 0,
            applied_at: at(0),
            changes: Vec::new(),
        })
    };
    let begun = |identity| Statement::Begun {
        identity,
        at: at(0),
    };
    let statements = [begun(1), keys(2), keys(3), begun(4)];
    let mut broadcast = Broadcast::new(1);
    for statement in &statements {
        broadcast.publish(statement.clone(), at(0));
    }
    let pushes = std::iter::from_fn(|| broadcast.next_push());
    let pushes: Vec<usize> = pushes.map(|push| push.statements.len()).collect();
    assert_eq!(pushes, [1, 2, 1]);
    let answers = broadcast.answer(&Message::Digest(Digest::default()), &statements);
    assert_eq!(answers.len(), 3);
}
