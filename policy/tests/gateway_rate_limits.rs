//! Limits that endpoints in need set on the requests of all daemons together.

use std::collections::VecDeque;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{RateLimits, RateReport};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(1);
const PLAY_TIME: Duration = Duration::from_secs(20);
/// Time from which the limit must hold.
const SETTLED: Duration = Duration::from_secs(3);
/// Window of the target, and the requests beyond one and a half times the limit that it allows.
const TARGET_WINDOW: Duration = Duration::from_secs(4);
const TARGET_SLACK: f64 = 5.0;
/// Seeds of each simulated fleet.
const SEEDS: u64 = 5;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn endpoint() -> Name {
    Name::from("i-1")
}

/// A fleet of daemons that would all send their requests to one endpoint with a limit.
#[derive(Clone, Copy)]
struct Fleet {
    daemons: usize,
    /// Requests per second of all daemons together.
    demand: f64,
    limit: f64,
    /// Time until a report arrives, and the share of reports that is lost.
    delay: Duration,
    lost_reports: f64,
    shares_reports: bool,
}

impl Fleet {
    /// Returns the times at which requests were sent.
    fn play(self, seed: u64) -> Vec<Instant> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<Name> = (0..self.daemons)
            .map(|it| format!("d-{it}").into())
            .collect();
        let mut limits: Vec<RateLimits> = names.iter().map(|_| RateLimits::default()).collect();
        let mut in_flight: VecDeque<(Instant, usize, Vec<RateReport>)> = VecDeque::new();
        let mut sent = Vec::new();
        let mut now = Instant::default();
        while now < Instant::default() + PLAY_TIME {
            now = now + STEP;
            while in_flight.front().is_some_and(|(due, ..)| *due <= now) {
                let (_, sender, reports) = in_flight.pop_front().unwrap();
                for (index, receiver) in limits.iter_mut().enumerate() {
                    if index != sender && !random.random_bool(self.lost_reports) {
                        receiver.merge(&names[sender], reports.clone(), now);
                    }
                }
            }
            if !random.random_bool(self.demand * STEP.as_secs_f64()) {
                continue;
            }
            let daemon = random.random_range(0..self.daemons);
            if !limits[daemon].allows(&endpoint(), &names[daemon], now) {
                continue;
            }
            limits[daemon].record_sent(&endpoint(), now);
            limits[daemon].observe(&endpoint(), Some(self.limit), now);
            sent.push(now);
            if self.shares_reports {
                in_flight.push_back((now + self.delay, daemon, limits[daemon].reports(0)));
            }
        }
        sent
    }
}

/// Returns by how many requests some window of the target exceeds what it allows.
fn excess(sent: &[Instant], limit: f64) -> f64 {
    let allowed = 1.5 * limit * TARGET_WINDOW.as_secs_f64() + TARGET_SLACK;
    let settled = sent
        .iter()
        .filter(|at| at.since(Instant::default()) >= SETTLED);
    let settled: Vec<Instant> = settled.copied().collect();
    let counts = settled.iter().map(|start| {
        let window = settled
            .iter()
            .filter(|at| *at >= start && at.since(*start) < TARGET_WINDOW);
        window.count() as f64 - allowed
    });
    counts.fold(f64::MIN, f64::max)
}

fn keeps_a_limit(daemons: usize, demand: f64, limit: f64, delay_ms: u64) {
    for seed in 0..SEEDS {
        let fleet = Fleet {
            daemons,
            demand,
            limit,
            delay: Duration::from_millis(delay_ms),
            lost_reports: 0.02,
            shares_reports: true,
        };
        let sent = fleet.play(seed);
        let excess_shared = excess(&sent, limit);
        assert!(
            excess_shared <= 0.0,
            "seed {seed}: {excess_shared} too many"
        );
        // Negative control: the same check without reports of the other daemons.
        let unshared = Fleet {
            shares_reports: false,
            ..fleet
        };
        assert!(excess(&unshared.play(seed), limit) > 0.0, "seed {seed}");
        // What the endpoint takes is used.
        let rate = sent.len() as f64 / PLAY_TIME.as_secs_f64();
        assert!(rate >= 0.7 * limit, "seed {seed}: {rate} per second");
    }
}

named_cases! { keeps_a_limit:
    of_a_few_requests_per_second(9, 100.0, 4.5, 10);
    of_many_requests_per_second(9, 300.0, 40.0, 10);
    of_one_request_in_two_seconds(9, 100.0, 0.5, 10);
    in_a_large_fleet(81, 250.0, 3.0, 30);
    in_a_fleet_that_passes_reports_on(295, 250.0, 3.0, 30);
}

fn limits_after(steps: &[(u64, Option<f64>)]) -> RateLimits {
    let mut limits = RateLimits::default();
    for (millis, limit) in steps {
        limits.observe(&endpoint(), *limit, at(*millis));
    }
    limits
}

/// Sends requests until no more are allowed, and returns how many.
fn send_all(limits: &mut RateLimits, millis: u64) -> usize {
    let daemon = Name::from("d-0");
    let mut sent = 0;
    while sent < 1_000 && limits.allows(&endpoint(), &daemon, at(millis)) {
        limits.record_sent(&endpoint(), at(millis));
        sent += 1;
    }
    sent
}

fn allows_at_once(steps: &[(u64, Option<f64>)], millis: u64, expected: usize) {
    assert_eq!(send_all(&mut limits_after(steps), millis), expected);
}

named_cases! { allows_at_once:
    everything_without_a_limit(&[], 0, 1_000);
    two_seconds_worth(&[(0, Some(4.5))], 100, 9);
    one_request_of_a_low_limit(&[(0, Some(0.2))], 100, 1);
    the_latest_limit(&[(0, Some(4.5)), (900, Some(2.0))], 1_000, 4);
    everything_after_the_limit_is_lifted(&[(0, Some(4.5)), (900, None)], 1_000, 1_000);
    no_more_after_a_response_that_may_be_older(&[(0, Some(4.5)), (100, None)], 200, 9);
    everything_after_a_limit_that_is_not_repeated(&[(0, Some(4.5))], 31_000, 1_000);
    everything_if_the_limit_is_no_number(&[(0, Some(f64::NAN)), (0, Some(-1.0))], 100, 1_000);
}

#[test]
fn room_returns_as_requests_leave_the_window() {
    let mut limits = limits_after(&[(0, Some(2.0))]);
    assert_eq!(send_all(&mut limits, 0), 4);
    assert_eq!(send_all(&mut limits, 1_900), 0);
    let wait = limits.retry_after([&endpoint()], at(500));
    assert!(wait >= Duration::from_millis(1_500) && wait < Duration::from_millis(2_500));
    assert_eq!(send_all(&mut limits, 2_400), 4);
}

#[test]
fn a_restarted_endpoint_has_no_limit() {
    let mut limits = limits_after(&[(0, Some(1.0))]);
    limits.endpoint_restarted(&endpoint());
    assert_eq!(send_all(&mut limits, 100), 1_000);
}

fn report(per_second: Option<f64>, millis: u64, sent: u32) -> RateReport {
    RateReport {
        endpoint: endpoint(),
        per_second,
        named_at: at(millis),
        sent,
    }
}

/// Guards against a daemon that starts while a limit holds and sends as if there were none.
#[test]
fn limits_and_requests_of_peers_count() {
    let (mut limits, peer) = (RateLimits::default(), Name::from("d-1"));
    limits.merge(&peer, vec![report(Some(4.5), 0, 3)], at(100));
    limits.merge(&peer, vec![report(Some(4.5), 0, 5)], at(200));
    // A repeated report and one of a peer that has started anew add nothing.
    limits.merge(&peer, vec![report(Some(4.5), 0, 5)], at(300));
    limits.merge(&peer, vec![report(Some(4.5), 0, 0)], at(300));
    assert_eq!(send_all(&mut limits, 400), 4);
    limits.merge(&peer, vec![report(None, 400, 0)], at(500));
    assert_eq!(send_all(&mut limits, 500), 1_000);
}

/// Guards against reports that fill the memory or hold a limit beyond its time.
#[test]
fn reports_are_bounded_and_expire() {
    let (mut limits, peer) = (RateLimits::default(), Name::from("d-1"));
    for number in 0..5_000 {
        let endpoint = Name::from(format!("i-{number}").as_str());
        let report = RateReport {
            endpoint,
            ..report(Some(1.0), 0, u32::MAX)
        };
        limits.merge(&peer, vec![report], at(0));
    }
    assert!(limits.reports(0).len() <= 1_024);
    limits.expire(at(31_000));
    assert!(limits.reports(0).is_empty());
    limits.merge(&peer, vec![report(Some(1.0), 0, 1)], at(31_000));
    assert!(limits.reports(0).is_empty());
}

/// Checks whether an endpoint takes requests some time after it has asked for a pause.
fn endpoint_takes_requests(pauses: &[(u64, f64)], at_ms: u64, expected: bool) {
    let mut limits = RateLimits::default();
    for (asked_at, seconds) in pauses {
        limits.pause(
            &endpoint(),
            Duration::from_secs_f64(*seconds),
            at(*asked_at),
        );
    }
    let daemon = Name::from("d-1");
    limits.expire(at(at_ms));
    assert_eq!(limits.allows(&endpoint(), &daemon, at(at_ms)), expected);
    assert!(limits.allows(&Name::from("i-2"), &daemon, at(at_ms)));
}

named_cases! { endpoint_takes_requests:
    not_in_a_pause(&[(1_000, 2.0)], 2_900, false);
    after_a_pause(&[(1_000, 2.0)], 3_000, true);
    not_in_an_earlier_pause_that_is_longer(&[(1_000, 2.0), (1_100, 0.3)], 2_900, false);
    not_in_a_renewed_pause(&[(1_000, 2.0), (2_900, 2.0)], 4_800, false);
    after_an_empty_pause(&[(1_000, 0.0)], 1_000, true);
    not_in_a_pause_of_years(&[(1_000, 1e9)], 600_900, false);
    after_the_longest_pause(&[(1_000, 1e9)], 601_000, true);
}

#[test]
fn pauses_tell_when_to_return() {
    let mut limits = RateLimits::default();
    let ids = ["i-1", "i-2"].map(Name::from);
    limits.pause(&ids[0], Duration::from_secs(3), at(1_000));
    limits.pause(&ids[1], Duration::from_secs(2), at(1_000));
    assert_eq!(
        limits.retry_after(&ids, at(1_500)),
        Duration::from_millis(1_500)
    );
    // The second one also has a limit of one request in 10 s.
    limits.observe(&ids[1], Some(0.1), at(1_000));
    limits.record_sent(&ids[1], at(1_000));
    assert_eq!(
        limits.retry_after(&ids, at(1_500)),
        Duration::from_millis(2_500)
    );
}

#[test]
fn pauses_end_with_the_process_and_are_bounded_in_number() {
    let mut limits = RateLimits::default();
    let daemon = Name::from("d-1");
    limits.pause(&endpoint(), Duration::from_secs(30), at(0));
    limits.endpoint_restarted(&endpoint());
    assert!(limits.allows(&endpoint(), &daemon, at(1)));
    let ids: Vec<Name> = (0..1_100).map(|it| format!("i-{it}").into()).collect();
    for (number, id) in ids.iter().enumerate() {
        limits.pause(id, Duration::from_millis(30_000 + number as u64), at(0));
    }
    let paused = ids.iter().filter(|id| limits.is_paused(id, at(1))).count();
    assert_eq!(paused, 1_024);
    assert!(
        limits.is_paused(&ids[1_099], at(1)),
        "the longest ones are kept"
    );
}

/// Guards against a pause that is taken for a limit of all daemons.
#[test]
fn pauses_are_not_reported_to_other_daemons() {
    let mut limits = RateLimits::default();
    limits.pause(&endpoint(), Duration::from_secs(30), at(0));
    assert!(limits.reports(0).is_empty());
}
