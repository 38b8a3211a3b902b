//! Times at which daemons tell each other their work on the engines.

use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    CallOutcome, EngineWork, Engines, Part, Prompt, Speed, UpdateSchedule,
};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

const SMALL: usize = 8;
const LARGE: usize = 60;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns work on one engine: prefills of some ms that are expected to end after others, and
/// sequences.
fn work(prefill_ms: f64, busy_ms: f64, sequences: u32) -> Vec<(Name, EngineWork)> {
    let mut work = EngineWork {
        sequences,
        ..EngineWork::default()
    };
    if prefill_ms > 0.0 {
        work.prefill_ms[2] = prefill_ms;
        work.longest_ms[2] = prefill_ms;
        work.busy_ms = Some(busy_ms);
    }
    vec![("i-1".into(), work)]
}

/// Checks when an update is due after `before` was sent at 1,000 ms and the work is `after` at a
/// later time.
fn is_due(
    recipients: usize,
    before: &[(Name, EngineWork)],
    after: &[(Name, EngineWork)],
    now_ms: u64,
    expected_ms: u64,
) {
    let mut schedule = UpdateSchedule::default();
    schedule.record_sent(before, at(1_000));
    let due = schedule.due(after, false, recipients, at(now_ms));
    assert_eq!(due, at(expected_ms), "{due:?}");
}

named_cases! { is_due:
    at_once_for_a_new_prompt(LARGE, &[], &work(20.0, 60.0, 1), 1_100, 1_018);
    at_once_for_a_further_prompt(LARGE, &work(20.0, 60.0, 1), &work(40.0, 60.0, 2), 1_010, 1_018);
    at_once_for_a_further_sequence(LARGE, &work(0.0, 0.0, 1), &work(0.0, 0.0, 2), 1_100, 1_018);
    late_for_the_end_of_a_prompt(LARGE, &work(20.0, 60.0, 1), &work(0.0, 0.0, 1), 1_050, 1_440);
    late_for_the_end_of_a_sequence(LARGE, &work(0.0, 0.0, 2), &work(0.0, 0.0, 1), 1_050, 1_440);
    late_for_the_end_of_all_work(LARGE, &work(0.0, 0.0, 2), &[], 1_050, 1_440);
    soon_for_any_change_in_a_small_fleet(SMALL, &work(0.0, 0.0, 2), &work(0.0, 0.0, 1), 1_050, 1_005);
    when_others_expect_the_end_too_early(
        LARGE, &work(20.0, 60.0, 1), &work(20.0, 10.0, 1), 1_050, 1_060);
    at_once_when_others_expected_the_end(
        LARGE, &work(20.0, 60.0, 1), &work(20.0, 20.0, 1), 1_061, 1_018);
    again_for_lost_datagrams(LARGE, &work(0.0, 0.0, 2), &work(0.0, 0.0, 2), 1_050, 1_700);
}

#[test]
fn nothing_is_due_without_work() {
    let schedule = UpdateSchedule::default();
    assert_eq!(
        schedule.due(&[], false, LARGE, at(5_000)),
        Instant::FAR_FUTURE
    );
    assert!(schedule.due(&[], true, LARGE, at(5_000)) <= at(5_000));
}

/// Guards against updates that follow each other at the shortest interval while a prompt takes
/// longer than expected.
#[test]
fn a_stalled_prompt_is_told_rarely() {
    let mut engines = Engines::open(Speed::default());
    let engine = Name::from("i-1");
    let parts = vec![Part {
        id: 1,
        tokens: 2_000,
    }];
    let prompt = Prompt {
        model: None,
        tokens: 2_000,
        output_tokens_max: 20,
        output_tokens_hint: None,
        parts,
    };
    engines.prefill_sent(&engine, 2, 20.0, 60.0, &prompt, at(1_000));
    let mut schedule = UpdateSchedule::default();
    let mut sent = 0;
    for millis in 1_000..3_000 {
        let now = at(millis);
        let work = engines.own_work(now);
        if schedule.due(&work, false, LARGE, now) <= now {
            schedule.record_sent(&work, now);
            sent += 1;
        }
    }
    assert!((3..=20).contains(&sent), "{sent} updates in 2 s");
    engines.prefill_ended(&engine, 2, 20.0, 60.0, CallOutcome::Abandoned, at(3_000));
}

/// Guards against engines that look busy until an update says that a prompt was read.
#[test]
fn prefills_count_until_their_expected_end() {
    let mut engines = Engines::open(Speed::default());
    let engine = Name::from("i-1");
    engines.update_peer(&"d-1".into(), work(80.0, 100.0, 1), at(1_000));
    assert!(engines.known_wait_ms(&engine, 2, at(1_090)) >= 80.0);
    assert!(engines.known_wait_ms(&engine, 2, at(1_200)) < 1.0);
    // A peer that is late says so before.
    let late = work(80.0, 200.0, 1);
    engines.update_peer(&"d-1".into(), late, at(1_100));
    let later = at(1_200) + Duration::from_millis(50);
    assert!(engines.known_wait_ms(&engine, 2, later) >= 80.0);
}
