//! Speeds of engines that are learned from answers of all daemons.

mod gateway_support;

use std::collections::HashMap;
use std::time::Duration;

use gateway_support::{Fleet, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{ObservedPrefill, Route, SpeedKind, SpeedSample};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

const NOW: Instant = Instant::from_millis(1_000);
const ENGINES: usize = 6;

fn sample(engine: &str, kind: SpeedKind, ratio: f64) -> SpeedSample {
    SpeedSample {
        engine: engine.into(),
        kind,
        ratio,
    }
}

/// Reports samples of prefill engines, of which the last has another ratio.
fn fleet_with_last(ratio: f64, count: usize, at: Instant) -> Fleet {
    let mut fleet = Fleet::new(ENGINES, 1);
    // Speeds count where requests are ordered by need: the more urgent rank has the longer target.
    let more_urgent = Route {
        name: "more-urgent".into(),
        rank: 1,
        target: route(2).target * 2,
        ..route(2)
    };
    fleet.engines.apply_routes([&route(2), &more_urgent]);
    for _ in 0..8 {
        for number in 0..ENGINES {
            let name = format!("prefill-{number}");
            let samples = [sample(&name, SpeedKind::Prefill, 1.0)];
            fleet.engines.record_peer_speeds(&samples, at);
        }
    }
    let last = format!("prefill-{}", ENGINES - 1);
    for _ in 0..count {
        let samples = [sample(&last, SpeedKind::Prefill, ratio)];
        fleet.engines.record_peer_speeds(&samples, at);
    }
    fleet
}

/// Places prompts one after another and returns how many each engine prefills.
fn placed(fleet: &mut Fleet, now: Instant) -> HashMap<Name, usize> {
    let mut counts = HashMap::new();
    for _ in 0..2 * ENGINES - 2 {
        let request = prompt(12_000, None);
        let placement = fleet.place(&request, &route(2), now).unwrap();
        let engine = placement.prefill.unwrap();
        let prefill_ms = placement.prefill_ms;
        let engines = &mut fleet.engines;
        let priority = placement.priority;
        engines.prefill_sent(&engine, priority, prefill_ms, prefill_ms, &request, now);
        *counts.entry(engine).or_default() += 1;
    }
    counts
}

/// Guards against an engine that gets as much work as others although it is slower or faster.
fn work_follows_the_speed(ratio: f64, count: usize, fewest: usize, most: usize) {
    let mut fleet = fleet_with_last(ratio, count, NOW);
    let counts = placed(&mut fleet, NOW);
    let last = Name::from(format!("prefill-{}", ENGINES - 1));
    let count = counts.get(&last).copied().unwrap_or_default();
    assert!((fewest..=most).contains(&count), "{counts:?}");
}

named_cases! { work_follows_the_speed:
    of_an_engine_that_is_much_slower(4.0, 9, 0, 0);
    of_an_engine_that_is_much_faster(0.4, 9, 4, 7);
    not_of_one_that_differs_by_a_tenth(1.1, 9, 1, 3);
    not_after_four_false_samples(0.125, 4, 1, 3);
    not_after_samples_that_are_no_numbers(f64::NAN, 9, 1, 3);
}

/// Guards against a speed that is believed long after the last observation.
#[test]
fn an_old_speed_is_forgotten() {
    let mut fleet = fleet_with_last(4.0, 9, NOW);
    let counts = placed(&mut fleet, NOW + Duration::from_mins(1));
    let last = Name::from(format!("prefill-{}", ENGINES - 1));
    assert!(
        counts.get(&last).is_some_and(|count| *count >= 1),
        "{counts:?}"
    );
}

/// Guards against a fleet of equal engines that differs from the configured speed and is treated as
/// one of unequal engines while only some are observed.
#[test]
fn an_engine_without_samples_counts_as_the_median() {
    let mut fleet = Fleet::new(ENGINES, 1);
    for number in 0..ENGINES - 1 {
        let name = format!("prefill-{number}");
        for _ in 0..9 {
            let samples = [sample(&name, SpeedKind::Prefill, 2.0)];
            fleet.engines.record_peer_speeds(&samples, NOW);
        }
    }
    let counts = placed(&mut fleet, NOW);
    assert!(
        counts.values().all(|count| (1..=3).contains(count)),
        "{counts:?}"
    );
}

/// Guards against samples that are never reported, or reported again and again.
#[test]
fn observed_speeds_are_reported_once_to_each_group() {
    let mut fleet = Fleet::new(1, 1);
    let engine = Name::from("decode-0");
    for _ in 0..20 {
        fleet.engines.observe_output(&engine, 200, 900.0, NOW);
    }
    fleet.engines.observe_output(&engine, 20, 900.0, NOW);
    let engines = &mut fleet.engines;
    assert_eq!(engines.take_unsent_speeds_local().len(), 16);
    assert_eq!(engines.take_unsent_speeds_local().len(), 4);
    assert!(engines.take_unsent_speeds_local().is_empty());
    assert_eq!(engines.take_unsent_speeds_remote().len(), 16);
}

/// Guards against samples that show the load of an engine or the fixed part of a call.
#[test]
fn short_prefills_and_those_behind_others_are_no_samples() {
    let mut fleet = Fleet::new(1, 1);
    let engine = Name::from("prefill-0");
    let engines = &mut fleet.engines;
    let mut observe = |configured_ms, engine_ms, wait_ms| {
        let observed = ObservedPrefill {
            is_local: false,
            configured_ms,
            wait_ms,
            overhead_ms: 65.0,
            millis: engine_ms + wait_ms + 65.0,
        };
        engines.observe_prefill(&engine, &observed, NOW);
        engines.take_unsent_speeds_local()
    };
    assert!(observe(12.0, 80.0, 0.0).is_empty());
    assert!(observe(80.0, 80.0, 60.0).is_empty());
    assert_eq!(
        observe(80.0, 160.0, 0.0),
        [sample("prefill-0", SpeedKind::Prefill, 2.0)]
    );
}

/// Guards against prefills that share an engine with outputs and make prefill engines seem fast.
#[test]
fn local_prefills_are_no_samples() {
    let mut fleet = Fleet::new(1, 1);
    let observed = ObservedPrefill {
        is_local: true,
        configured_ms: 80.0,
        wait_ms: 0.0,
        overhead_ms: 65.0,
        millis: 400.0,
    };
    let engine = Name::from("decode-0");
    fleet.engines.observe_prefill(&engine, &observed, NOW);
    assert!(fleet.engines.take_unsent_speeds_local().is_empty());
}

/// Guards against a fixed part of calls that is assumed too long, by which engines of the configured
/// speed seem faster.
#[test]
fn the_fixed_part_of_calls_is_learned() {
    let mut fleet = Fleet::new(1, 1);
    let engine = Name::from("prefill-0");
    let mut last = Vec::new();
    for number in 0..200 {
        let configured_ms = 20.0 + f64::from(number % 10) * 12.0;
        let observed = ObservedPrefill {
            is_local: false,
            configured_ms,
            wait_ms: 0.0,
            overhead_ms: 65.0,
            millis: configured_ms + 20.0,
        };
        fleet.engines.observe_prefill(&engine, &observed, NOW);
        last.extend(fleet.engines.take_unsent_speeds_local());
    }
    let ratio = last.last().unwrap().ratio;
    assert!((ratio - 1.0).abs() < 0.05, "{ratio}");
}
