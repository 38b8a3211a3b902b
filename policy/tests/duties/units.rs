use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::Timestamp;
use ragwortgrade_policy::gateway::duties::{
    Delivery, FleetClock, Ledger, Reports, Store, Tally, TenantCounts, UsageRecord, WindowCounts,
    candidates, is_valid_token, token_floor,
};
use ragwortgrade_schema::Name;

const WINDOW: Duration = Duration::from_secs(5);
const UNIX_MS: u64 = 1_767_225_600_000;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn clock(unix_ms: u64) -> FleetClock {
    FleetClock::new(Timestamp {
        monotonic: at(0),
        unix_ms,
    })
}

fn counts(number: u64) -> TenantCounts {
    TenantCounts::from([(name("t"), number)])
}

fn sent(window: u64, number: u64, is_final: bool) -> WindowCounts {
    WindowCounts {
        window,
        counts: counts(number),
        is_final,
    }
}

fn store(records: BTreeMap<u64, UsageRecord>, era: Option<u64>) -> Store {
    Store {
        records,
        era,
        restored_ms: 100_000,
        recorded_since_ms: u64::MAX,
        tenure_ms: 150_000,
        is_first_holder: false,
    }
}

fn record(number: u64, era: u64, first_own: u64) -> UsageRecord {
    UsageRecord {
        counts: counts(number),
        era: Some(era),
        first_own,
        accepted: 0,
    }
}

/// Guards against windows by the clock of a daemon that is off by more than a window.
#[test]
fn windows_follow_the_median_of_the_clocks() {
    let mut candidate = clock(UNIX_MS);
    for (index, offset_ms) in [-6_000_i64, 0, 40, 0, 5_500].into_iter().enumerate() {
        let unix_ms = UNIX_MS.saturating_add_signed(offset_ms);
        candidate.observe_clock(&name(&format!("d{index}")), unix_ms, at(0));
    }
    let (unix_ms, clocks) = candidate.median(at(0)).unwrap();
    assert_eq!((unix_ms, clocks), (UNIX_MS, 5));
    let mut late = clock(UNIX_MS - 6_000);
    late.observe_median(&name("d1"), unix_ms, clocks, at(0));
    let mut ledger = Ledger::new(WINDOW);
    ledger.count(Some(&name("t")), at(10), &late);
    let recent = ledger.recent(at(20), Duration::ZERO, &late);
    assert_eq!(recent, [sent(UNIX_MS / 5_000, 1, false)]);
}

/// Guards against a candidate that knows few clocks, since it has just started or is cut off.
#[test]
fn candidate_with_few_clocks_is_not_followed() {
    let mut daemon = clock(UNIX_MS);
    daemon.observe_median(&name("d1"), UNIX_MS + 100, 80, at(0));
    daemon.observe_median(&name("d2"), UNIX_MS + 5_000, 1, at(0));
    assert_eq!(daemon.unix_ms(at(0)), UNIX_MS + 100);
}

/// Guards against a window that is final while a call that was sent in it has no answer, and against a
/// call that is counted in the window of its answer.
#[test]
fn call_keeps_its_window_open_and_counts_where_it_began() {
    let clock = clock(0);
    let mut ledger = Ledger::new(WINDOW);
    let run = ledger.begin(at(4_900));
    let open = ledger.recent(at(5_600), Duration::from_secs(1), &clock);
    assert!(!open[0].is_final);
    ledger.count_pending(run, Some(&name("t")), &clock);
    let closed = ledger.recent(at(6_500), Duration::from_secs(2), &clock);
    assert_eq!(closed[0], sent(0, 1, true));
}

/// Guards against counts that grow by repeated datagrams, shrink by reordered ones, or are lost with a
/// process that ends.
#[test]
fn lost_repeated_and_reordered_datagrams_and_a_killed_daemon() {
    let mut tally = Tally::default();
    let daemon = name("a");
    tally.merge(&daemon, 1, &sent(10, 3, false), 10);
    tally.merge(&daemon, 1, &sent(10, 7, false), 10);
    tally.merge(&daemon, 1, &sent(10, 3, false), 10);
    // The process is killed, and its successor starts to count at zero.
    tally.merge(&daemon, 2, &sent(10, 2, false), 10);
    assert_eq!(tally.counts(10), counts(9));
    let daemons = [daemon.clone(), name("b")];
    assert_eq!(tally.unsettled(10, &daemons).len(), 2);
    tally.merge(&daemon, 2, &sent(10, 2, true), 11);
    assert_eq!(tally.unsettled(10, &daemons), [&daemons[1]]);
}

/// Guards against a new holder that sends other counts than were recorded, or leaves a window out that
/// nobody has recorded.
#[test]
fn new_holder_continues_after_the_newest_record() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    let records = BTreeMap::from([(27, record(4, 2, 20))]);
    assert!(reports.begin(&store(records, Some(2))).is_empty());
    assert_eq!(reports.next_report(), Some((27, counts(4))));
    assert_eq!(reports.due_window(150_000), Some(28));
}

/// Guards against a report of a window that a holder before the restore may have reported.
#[test]
fn unknown_windows_before_a_restore_are_skipped() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    reports.learn(19, counts(8));
    let records = BTreeMap::from([(17, record(4, 1, 10))]);
    let skipped = reports.begin(&store(records, Some(2)));
    assert_eq!(skipped, [18]);
    let step = reports.lost_record().unwrap();
    assert_eq!((step.window, step.record.counts), (19, counts(8)));
    assert_eq!(reports.due_window(150_000), Some(20));
}

/// Guards against reports of windows before the tenure where the store does not tell of restores.
#[test]
fn store_without_an_era_allows_only_windows_of_the_tenure() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    let records = BTreeMap::from([(27, record(4, 1, 10))]);
    assert_eq!(reports.begin(&store(records, None)), [28, 29]);
    assert_eq!(reports.due_window(200_000), Some(30));
}

/// Guards against windows that are missed when the holder changes while the store, which names no era,
/// is available.
#[test]
fn uninterrupted_store_without_an_era_allows_the_windows_of_the_predecessor() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    let last = UsageRecord {
        era: None,
        ..record(4, 1, 10)
    };
    let uninterrupted = Store {
        recorded_since_ms: 100_000,
        ..store(BTreeMap::from([(27, last)]), None)
    };
    assert!(reports.begin(&uninterrupted).is_empty());
    assert_eq!(reports.due_window(200_000), Some(28));
}

/// Guards against windows of an outage that are missed after it, and against a second report of those
/// before it.
#[test]
fn windows_after_the_begin_of_an_outage_are_reported_without_an_era() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    let last = UsageRecord {
        era: None,
        ..record(4, 1, 10)
    };
    let after_outage = Store {
        recorded_since_ms: 147_000,
        ..store(BTreeMap::from([(26, last)]), None)
    };
    let after_outage = Store {
        tenure_ms: 160_000,
        ..after_outage
    };
    let first = reports.window_at(147_000 + 1_000);
    assert_eq!(
        reports.begin(&after_outage),
        (27..first).collect::<Vec<u64>>()
    );
    assert_eq!(reports.due_window(200_000), Some(first));
}

/// Guards against a report that changes between two attempts to record it.
#[test]
fn repeated_attempt_has_the_same_counts() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    reports.begin(&store(BTreeMap::new(), Some(1)));
    let window = reports.due_window(150_000).unwrap();
    let first = reports.fix(window, counts(5));
    assert_eq!(reports.fix(window, counts(6)), first);
}

/// Guards against reports that wait without bound while the platform is away, and against keys that
/// are never removed.
#[test]
fn windows_are_bounded_while_the_platform_is_away() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    reports.begin(&store(BTreeMap::new(), Some(1)));
    let mut stored = BTreeSet::new();
    while let Some(window) = reports.due_window(1_000_000) {
        let step = reports.fix(window, counts(window));
        let counts = step.record.counts.clone();
        stored.insert(step.window);
        stored.retain(|window| !step.remove.contains(window));
        reports.recorded(&step, counts);
    }
    assert!(reports.waiting() <= 25, "{}", reports.waiting());
    assert!(stored.len() <= 26, "{}", stored.len());
    assert!(reports.next_report().is_some());
}

/// Guards against candidates that a partition cuts off together.
#[test]
fn candidates_are_in_different_data_centres() {
    let daemons: Vec<(Name, Name)> = (0..84)
        .map(|index| (name(&format!("d{index}")), name(&format!("z{}", index % 4))))
        .collect();
    let chosen = candidates(daemons.iter().map(|(name, zone)| (name, zone)));
    let zones = daemons.iter().filter(|(name, _)| chosen.contains(name));
    let zones: BTreeSet<&Name> = zones.map(|(_, zone)| zone).collect();
    assert_eq!((chosen.len(), zones.len()), (4, 4));
}

/// Guards against tokens that fall after a restore or that JSON cannot carry.
#[test]
fn token_floor_rises_with_the_era_or_the_time() {
    assert!(token_floor(Some(3), UNIX_MS) > token_floor(Some(2), UNIX_MS) + (1 << 30));
    // Without an era, a second outweighs a holder's block of tokens.
    assert!(token_floor(None, UNIX_MS + 1_000) > token_floor(None, UNIX_MS) + (1 << 16));
    for era in [None, Some(0), Some(u64::MAX)] {
        assert!(is_valid_token(token_floor(era, u64::MAX) + (1 << 20)));
    }
}

/// Guards against counts that no candidate gets since a link is cut, and against writes to the store
/// while the holder answers.
#[test]
fn counts_without_an_answer_go_to_the_store() {
    let mut delivery = Delivery::default();
    let report = [sent(9, 3, true), sent(10, 4, false)];
    delivery.record_report(&report, at(0));
    delivery.record_answer();
    assert!(delivery.overdue(at(5_000)).is_empty());
    let report = [sent(9, 3, true), sent(10, 4, true), sent(11, 1, false)];
    delivery.record_report(&report, at(5_000));
    assert!(delivery.overdue(at(5_100)).is_empty());
    assert_eq!(delivery.overdue(at(6_300)), [10]);
    delivery.record_stored(10);
    delivery.record_report(&report, at(6_400));
    assert!(delivery.overdue(at(8_000)).is_empty());
}

/// Guards against a write for each of many windows after a jump of the fleet's clock.
#[test]
fn windows_of_long_ago_are_passed_over() {
    let mut reports = Reports::new(WINDOW, Duration::from_secs(10));
    reports.begin(&store(BTreeMap::new(), Some(1)));
    assert_eq!(reports.pass_over_old(150_000), 0);
    let next = reports.due_window(150_000).unwrap();
    assert_eq!(reports.pass_over_old(5_000_000), 1_000 - 24 - next);
    assert_eq!(reports.due_window(5_000_000), Some(976));
}
