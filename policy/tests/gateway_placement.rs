//! Placement of generations.

mod gateway_support;

use std::collections::HashSet;
use std::time::Duration;

use gateway_support::{Fleet, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    CachedPart, CallOutcome, EngineWork, Engines, PRIORITY_LEVELS, Speed,
};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

const NOW: Instant = Instant::from_millis(1_000);

fn queued_work(priority: usize, prefill_ms: f64) -> EngineWork {
    let mut queued_work = EngineWork::default();
    queued_work.prefill_ms[priority] = prefill_ms;
    queued_work.longest_ms[priority] = prefill_ms;
    queued_work
}

fn cached_part(engine: &Name, part: u64) -> CachedPart {
    CachedPart {
        engine: engine.clone(),
        part,
    }
}

#[test]
fn short_prompts_use_local_prefill_and_long_ones_remote_prefill() {
    let fleet = Fleet::new(2, 4);
    let short = fleet.place(&prompt(200, None), &route(0), NOW).unwrap();
    assert_eq!(short.prefill, None);
    let long = fleet.place(&prompt(20_000, None), &route(2), NOW).unwrap();
    assert!(long.prefill.is_some());
    assert!(long.decode.starts_with("decode"));
}

#[test]
fn every_daemon_sends_a_prefix_to_the_same_engine() {
    let mut prefill_engines = Vec::new();
    for _daemon in 0..5 {
        let fleet = Fleet::new(4, 8);
        let placement = fleet
            .place(&prompt(12_000, Some(77)), &route(2), NOW)
            .unwrap();
        prefill_engines.push(placement.prefill.unwrap());
    }
    prefill_engines.dedup();
    assert_eq!(prefill_engines.len(), 1, "{prefill_engines:?}");
}

#[test]
fn requests_follow_a_prefix_that_a_peer_sent_to_another_engine() {
    let mut fleet = Fleet::new(4, 8);
    let affinity_engine = fleet
        .place(&prompt(12_000, Some(77)), &route(2), NOW)
        .unwrap();
    let affinity_engine = affinity_engine.prefill.unwrap();
    let other = (0..4)
        .map(|number| Name::from(format!("prefill-{number}")))
        .find(|name| *name != affinity_engine)
        .unwrap();
    fleet
        .engines
        .record_peer_parts(vec![cached_part(&other, 1), cached_part(&other, 77)], NOW);
    let placement = fleet
        .place(&prompt(12_000, Some(77)), &route(2), NOW)
        .unwrap();
    assert_eq!(placement.prefill, Some(other));
    assert!(placement.cached_tokens > 0);
}

#[test]
fn work_of_a_peer_counts_until_its_update_expires() {
    let mut fleet = Fleet::new(2, 2);
    let busy = Name::from("prefill-0");
    let update = vec![(busy.clone(), queued_work(2, 300.0))];
    fleet.engines.update_peer(&"peer".into(), update, NOW);
    for part in 0..20 {
        let placement = fleet
            .place(&prompt(12_000, Some(part)), &route(2), NOW)
            .unwrap();
        assert_ne!(placement.prefill, Some(busy.clone()));
    }
    let later = NOW + Duration::from_secs(10);
    fleet
        .engines
        .update_peer(&"other".into(), Vec::new(), later);
    let used = (0..20).any(|part| {
        let placement = fleet
            .place(&prompt(12_000, Some(part)), &route(2), later)
            .unwrap();
        placement.prefill == Some(busy.clone())
    });
    assert!(used, "the update of a stopped peer must expire");
}

/// Guards against prefilling a long document once per data centre of a large fleet. Short shared
/// parts are prefilled in the local data centre.
fn prefill_engine_count(document_tokens: u32, expected: usize) {
    let fleet = Fleet::of_two_data_centres(12, 28);
    let mut prompt = prompt(16_000, Some(77));
    prompt.parts[1].tokens = document_tokens;
    let mut prefill_engines = ["a", "b"].map(|data_centre| {
        let placement = fleet.place_from(data_centre, &prompt, &route(2));
        placement.prefill.unwrap()
    });
    prefill_engines.sort();
    let mut prefill_engines = prefill_engines.to_vec();
    prefill_engines.dedup();
    assert_eq!(prefill_engines.len(), expected, "{prefill_engines:?}");
}

named_cases! { prefill_engine_count:
    a_long_document_in_a_large_fleet(5_000, 1);
    a_short_document_in_a_large_fleet(400, 2);
}

#[test]
fn work_of_another_data_centre_counts_until_its_daemon_reports_its_end() {
    let mut fleet = Fleet::of_two_data_centres(12, 28);
    let request = prompt(16_000, Some(77));
    let affinity_engine = fleet.place_from("a", &request, &route(2)).prefill.unwrap();
    let update = vec![(affinity_engine.clone(), queued_work(2, 900.0))];
    fleet.engines.update_peer(&"b-1".into(), update, NOW);
    let placement = fleet.place_from("a", &request, &route(2));
    assert_ne!(placement.prefill, Some(affinity_engine.clone()));
    // Updates replace each other and are not forwarded.
    fleet.engines.update_peer(&"b-1".into(), Vec::new(), NOW);
    let placement = fleet.place_from("a", &request, &route(2));
    assert_eq!(placement.prefill, Some(affinity_engine));
    assert!(fleet.engines.own_work(NOW).is_empty());
}

#[test]
fn the_work_of_all_daemons_adds_up_and_each_replaces_only_its_own() {
    let mut fleet = Fleet::new(2, 2);
    let prefill_engine = Name::from("prefill-0");
    let request = prompt(12_000, Some(77));
    fleet
        .engines
        .prefill_sent(&prefill_engine, 2, 100.0, 170.0, &request, NOW);
    let mut update_from = |daemon: &str, millis: f64| {
        let update = vec![(prefill_engine.clone(), queued_work(2, millis))];
        fleet.engines.update_peer(&daemon.into(), update, NOW);
        fleet.engines.known_wait_ms(&prefill_engine, 2, NOW)
    };
    assert!((update_from("a-1", 50.0) - 150.0).abs() < 1e-9);
    assert!((update_from("b-1", 30.0) - 180.0).abs() < 1e-9);
    assert!((update_from("a-1", 10.0) - 140.0).abs() < 1e-9);
}

/// Guards against sending requests to an engine that has stalled without closing its connections
/// until its registration lapses seconds later. Other daemons must learn of it from the load
/// updates.
#[test]
fn an_engine_whose_prompts_are_overdue_is_avoided() {
    let mut fleet = Fleet::new(2, 1);
    let request = prompt(12_000, Some(77));
    let place = |fleet: &Fleet, now| fleet.place(&request, &route(2), now).unwrap();
    let affinity_engine = place(&fleet, NOW).prefill.unwrap();
    fleet
        .engines
        .prefill_sent(&affinity_engine, 4, 60.0, 130.0, &request, NOW);
    let in_time = NOW + Duration::from_millis(200);
    assert_eq!(
        place(&fleet, in_time).prefill,
        Some(affinity_engine.clone())
    );
    let overdue = NOW + Duration::from_millis(800);
    assert_ne!(
        place(&fleet, overdue).prefill,
        Some(affinity_engine.clone())
    );
    let update = fleet.engines.own_work(overdue);
    let mut peer = Fleet::new(2, 1);
    peer.engines.update_peer(&"silent".into(), update, overdue);
    assert_ne!(place(&peer, overdue).prefill, Some(affinity_engine));
}

#[test]
fn only_long_parts_are_sent_to_other_data_centres_and_once() {
    let mut fleet = Fleet::new(2, 2);
    let prefill_engine = Name::from("prefill-0");
    let request = prompt(12_000, Some(77));
    fleet
        .engines
        .prefill_sent(&prefill_engine, 2, 100.0, 170.0, &request, NOW);
    // A local prefill records the same parts twice for the engine.
    fleet.engines.sequence_sent(&prefill_engine, &request, NOW);
    assert_eq!(fleet.engines.take_unsent_local().len(), 2);
    let sent = fleet.engines.take_unsent_remote();
    let sent: Vec<u64> = sent.iter().map(|cached_part| cached_part.part).collect();
    assert_eq!(sent, [77]);
    assert!(fleet.engines.take_unsent_remote().is_empty());
}

#[test]
fn a_long_part_received_alone_implies_the_parts_before_it() {
    let mut fleet = Fleet::new(1, 1);
    let prefill_engine = Name::from("prefill-0");
    fleet
        .engines
        .record_peer_parts(vec![cached_part(&prefill_engine, 77)], NOW);
    let request = prompt(12_000, Some(77));
    let placement = fleet.place(&request, &route(2), NOW).unwrap();
    assert_eq!(placement.cached_tokens, 5_500);
}

/// Guards against moving a prompt with a document away from a busy affinity engine: the other
/// engine caches the document too and is selected for further requests. An idle engine is used only
/// instead of a refusal, except for the longest prompts, which do not wait in a queue.
fn chooses_affinity_engine(tokens: u32, affinity_ms: f64, other_ms: f64, expected: Option<bool>) {
    let mut fleet = Fleet::new(2, 1);
    let request = prompt(tokens, Some(77));
    let place = |fleet: &Fleet| fleet.place(&request, &route(2), NOW);
    let affinity_engine = place(&fleet).unwrap().prefill.unwrap();
    let work = ["prefill-0", "prefill-1"].map(|name| {
        let busy_ms = if *name == *affinity_engine {
            affinity_ms
        } else {
            other_ms
        };
        (name.into(), queued_work(1, busy_ms))
    });
    let mut work = work.to_vec();
    work.push(("decode-0".into(), queued_work(1, other_ms)));
    fleet.engines.update_peer(&"peer".into(), work, NOW);
    let is_at_affinity_engine = place(&fleet)
        .ok()
        .map(|it| it.prefill == Some(affinity_engine));
    assert_eq!(is_at_affinity_engine, expected);
}

named_cases! { chooses_affinity_engine:
    affinity_engine_after_a_short_wait(12_000, 80.0, 0.0, Some(true));
    idle_engine_before_a_refusal(12_000, 300.0, 0.0, Some(false));
    affinity_engine_while_all_have_queues(12_000, 300.0, 200.0, Some(true));
    no_engine_while_all_have_long_queues(12_000, 1_500.0, 1_500.0, None);
    another_engine_for_the_longest_prompt(60_000, 130.0, 0.0, Some(false));
}

/// Guards against requests that miss their target delaying those of their rank that can meet it, or
/// being overtaken by the next rank. Such a request must not go to a decode engine whose sequences
/// slow each other down.
fn priority_behind_a_queue(queue_ms: f64, sequences: u32, expected: Option<u8>) {
    let mut fleet = Fleet::new(1, 1);
    let queued = queued_work(2, queue_ms);
    let running = EngineWork {
        sequences,
        ..queued_work(2, queue_ms / 2.0)
    };
    let work = vec![("prefill-0".into(), queued), ("decode-0".into(), running)];
    fleet.engines.update_peer(&"peer".into(), work, NOW);
    let placement = fleet.place(&prompt(12_000, None), &route(2), NOW).ok();
    assert_eq!(placement.map(|placement| placement.priority), expected);
}

named_cases! { priority_behind_a_queue:
    target_met_behind_a_short_queue(50.0, 6, Some(4));
    target_missed_behind_a_longer_queue(400.0, 6, Some(5));
    refused_behind_a_longer_queue_with_many_outputs(400.0, 60, None);
    refused_behind_the_longest_queue(1_500.0, 6, None);
}

/// Guards against estimates from the configured speeds when engines are of another kind. They would
/// admit requests that miss their target, or refuse requests that can meet it.
fn learns_engine_latency(slowdown: f64, tokens: u32) {
    let mut fleet = Fleet::new(1, 1);
    let place = |fleet: &Fleet, tokens| fleet.place(&prompt(tokens, None), &route(2), NOW).unwrap();
    let configured_ms = place(&fleet, tokens).expected.as_secs_f64() * 1e3;
    let prefill_ms_for = |fleet: &Fleet, tokens| place(fleet, tokens).prefill_ms;
    let (short_ms, long_ms) = (prefill_ms_for(&fleet, 300), prefill_ms_for(&fleet, tokens));
    let overhead_ms = configured_ms - long_ms;
    for _ in 0..200 {
        for (tokens, prefill_ms) in [(300, short_ms), (tokens, long_ms)] {
            let placement = place(&fleet, tokens);
            let took_ms = overhead_ms + prefill_ms * slowdown;
            fleet.engines.observe_first_event(&placement, took_ms);
        }
    }
    let actual_ms = overhead_ms + long_ms * slowdown;
    let learned_ms = place(&fleet, tokens).expected.as_secs_f64() * 1e3;
    assert!(
        (learned_ms - actual_ms).abs() < actual_ms * 0.1,
        "learned {learned_ms} ms, actual {actual_ms} ms"
    );
}

named_cases! { learns_engine_latency:
    of_engines_with_the_default_speed(1.0, 9_000);
    of_engines_that_are_slower(2.0, 9_000);
    of_engines_that_are_faster(0.5, 20_000);
    of_decode_engines_that_are_slower(2.0, 2_000);
}

#[test]
fn responses_faster_than_any_estimate_leave_estimates_usable() {
    let mut fleet = Fleet::new(1, 1);
    let request = prompt(300, None);
    for _ in 0..1_000 {
        let placement = fleet.place(&request, &route(2), NOW).unwrap();
        fleet.engines.observe_first_event(&placement, 0.0);
    }
    let placement = fleet.place(&request, &route(2), NOW).unwrap();
    assert!(placement.expected >= Duration::from_secs_f64(placement.prefill_ms / 1e3));
}

/// Guards against underestimating the wait of urgent short requests behind a running long prefill,
/// and against counting queued work that they overtake. Ranks 0 and 1 have the priorities 0 and 2.
fn waits_about(rank: u8, busy_priority: usize, busy_ms: f64, max_ms: u64) {
    let mut fleet = Fleet::new(0, 1);
    let update = vec![("decode-0".into(), queued_work(busy_priority, busy_ms))];
    fleet.engines.update_peer(&"peer".into(), update, NOW);
    let idle = Fleet::new(0, 1);
    let request = prompt(500, None);
    let expected = fleet.place(&request, &route(rank), NOW).unwrap().expected;
    let idle_expected = idle.place(&request, &route(rank), NOW).unwrap().expected;
    let wait_ms = expected.saturating_sub(idle_expected).as_millis() as u64;
    assert!(
        wait_ms <= max_ms && wait_ms * 2 >= max_ms,
        "wait {wait_ms} ms is not within {max_ms} ms and half of it"
    );
}

named_cases! { waits_about:
    behind_slightly_more_urgent_work(1, 1, 100.0, 100);
    behind_the_most_urgent_work(1, 0, 100.0, 100);
    behind_the_rest_of_a_less_urgent_prompt(0, 2, 100.0, 70);
}

#[test]
fn overload_is_refused_with_a_retry_time() {
    let mut fleet = Fleet::new(1, 1);
    let queued = EngineWork {
        longest_ms: queued_work(2, 150.0).longest_ms,
        ..queued_work(2, 900.0)
    };
    fleet.report_work(&["prefill-0", "decode-0"], queued, NOW);
    let refusal = fleet
        .place(&prompt(8_000, None), &route(2), NOW)
        .unwrap_err();
    assert!(refusal.retry_after >= Duration::from_millis(250));
    assert!(refusal.retry_after <= Duration::from_secs(2));
    // A request that is more urgent than all queued work is admitted.
    assert!(fleet.place(&prompt(500, None), &route(0), NOW).is_ok());
}

/// Guards against refusals whose log line does not tell which limit led to them.
fn refusal_names_the_exceeded_limits(
    queue_ms: f64,
    sequences: u32,
    expected_limit: &str,
    expected_late_wait: &str,
) {
    let mut fleet = Fleet::new(1, 1).with_slots(128);
    let running = EngineWork {
        sequences,
        ..queued_work(2, queue_ms)
    };
    fleet.report_work(&["prefill-0", "decode-0"], running, NOW);
    let refusal = fleet
        .place(&prompt(12_000, None), &route(2), NOW)
        .unwrap_err();
    let estimate = refusal.estimate.unwrap();
    assert_eq!(estimate.limit, expected_limit);
    assert_eq!(estimate.late_wait, expected_late_wait);
    let prefill = Duration::from_secs_f64(estimate.prefill_ms / 1e3);
    assert!(estimate.expected >= estimate.queue + prefill);
    assert!(estimate.expected > estimate.limit_time);
}

named_cases! { refusal_names_the_exceeded_limits:
    of_the_wait_beside_many_outputs(300.0, 60, "wait", "decode_engine_slowed");
    of_the_wait_behind_a_long_queue(600.0, 6, "wait", "too_long");
    of_the_abandonment_time(2_000.0, 6, "abandonment", "too_long");
}

#[test]
fn a_prompt_that_misses_its_target_by_size_alone_is_admitted() {
    let fleet = Fleet::new(1, 1);
    let placement = fleet.place(&prompt(60_000, None), &route(2), NOW).unwrap();
    assert!(placement.expected > route(2).target);
}

#[test]
fn a_fleet_without_decode_engines_refuses() {
    let fleet = Fleet::new(2, 0);
    assert!(fleet.place(&prompt(500, None), &route(0), NOW).is_err());
}

#[test]
fn a_failing_engine_is_used_only_when_there_is_no_other() {
    let mut fleet = Fleet::new(0, 2);
    let request = prompt(500, None);
    let first = fleet.place(&request, &route(0), NOW).unwrap().decode;
    for _ in 0..2 {
        fleet.engines.sequence_sent(&first, &request, NOW);
        fleet
            .engines
            .sequence_ended(&first, CallOutcome::Failed, NOW);
    }
    assert_ne!(fleet.place(&request, &route(0), NOW).unwrap().decode, first);
    let tried = vec![fleet.place(&request, &route(0), NOW).unwrap().decode];
    let only = fleet
        .place_excluding(&request, &route(0), &tried, NOW)
        .unwrap();
    assert_eq!(
        only.decode, first,
        "a failing engine is used when there is no other"
    );
}

#[test]
fn ended_work_is_removed() {
    let mut fleet = Fleet::new(1, 1);
    let request = prompt(8_000, Some(5));
    let id = Name::from("prefill-0");
    fleet
        .engines
        .prefill_sent(&id, 2, 80.0, 150.0, &request, NOW);
    assert!(fleet.engines.known_wait_ms(&id, 2, NOW) > 0.0);
    let done = CallOutcome::Done { millis: 90.0 };
    fleet.engines.prefill_ended(&id, 2, 80.0, 90.0, done, NOW);
    assert!(fleet.engines.known_wait_ms(&id, 2, NOW).abs() < f64::EPSILON);
    assert!(fleet.engines.own_work(NOW).is_empty());
    assert_eq!(
        fleet.engines.take_unsent_local().len(),
        request.shared().len()
    );
    assert_eq!(queued_work(0, 0.0).prefill_ms.len(), PRIORITY_LEVELS);
}

#[test]
fn an_engine_with_slow_outputs_is_avoided() {
    let mut fleet = Fleet::new(0, 2);
    let request = prompt(500, None);
    let first = fleet.place(&request, &route(0), NOW).unwrap().decode;
    fleet.engines.sequence_sent(&first, &request, NOW);
    for _ in 0..20 {
        fleet.engines.observe_output(&first, 200, 8_000.0, NOW);
    }
    fleet
        .engines
        .sequence_ended(&first, CallOutcome::Done { millis: 0.0 }, NOW);
    assert_ne!(fleet.place(&request, &route(0), NOW).unwrap().decode, first);
}

/// Offers twice the load that the engines can prefill. The admitted requests must meet their
/// target, instead of all requests missing it.
#[test]
fn admitted_requests_of_an_overload_burst_meet_their_target() {
    const ENGINES: usize = 2;
    const ARRIVAL_INTERVAL_MS: u64 = 30;
    let mut fleet = Fleet::new(ENGINES, 1);
    let route = route(2);
    let mut free_at = [0.0_f64; ENGINES];
    let (mut admitted, mut met_target) = (0, 0);
    let mut running: Vec<(f64, Name, f64)> = Vec::new();
    for number in 0..300 {
        let millis = number * ARRIVAL_INTERVAL_MS;
        let now = Instant::from_millis(millis);
        let request = prompt(11_000, Some(1_000 + number));
        running.retain(|(end, id, prefill_ms)| {
            if *end <= millis as f64 {
                let done = CallOutcome::Done {
                    millis: *prefill_ms,
                };
                fleet
                    .engines
                    .prefill_ended(id, 2, *prefill_ms, 1e6, done, now);
            }
            *end > millis as f64
        });
        let Ok(placement) = fleet.place(&request, &route, now) else {
            continue;
        };
        let Some(id) = placement.prefill else {
            continue;
        };
        let engine: usize = id.trim_start_matches("prefill-").parse().unwrap();
        let begin = free_at[engine].max(millis as f64);
        free_at[engine] = begin + placement.prefill_ms;
        let first_ms = free_at[engine] - millis as f64 + 80.0;
        admitted += 1;
        met_target += u32::from(first_ms <= route.target.as_secs_f64() * 1e3);
        fleet
            .engines
            .prefill_sent(&id, 2, placement.prefill_ms, 1e6, &request, now);
        running.push((free_at[engine], id, placement.prefill_ms));
    }
    let capacity = 300.0 * ARRIVAL_INTERVAL_MS as f64 * ENGINES as f64 / 130.0;
    assert!(
        f64::from(met_target) > 0.9 * f64::from(admitted),
        "{met_target} of {admitted} admitted requests met their target"
    );
    assert!(
        f64::from(admitted) > 0.7 * capacity,
        "{admitted} requests admitted, capacity {capacity}"
    );
}

/// Guards against many daemons that all choose the same of several idle engines before they learn
/// of each other's requests.
#[test]
fn daemons_choose_different_ones_of_equally_idle_engines() {
    let choices = |seeds: std::ops::Range<u64>| {
        let chosen = seeds.map(|seed| {
            let mut fleet = Fleet::new(2, 12);
            fleet.engines = Engines::open(Speed::default()).with_order_seed(seed);
            let home = fleet.place(&prompt(200, None), &route(0), NOW).unwrap();
            fleet.report_work(&[&home.decode], queued_work(0, 400.0), NOW);
            let placement = fleet.place(&prompt(200, None), &route(0), NOW).unwrap();
            assert_ne!(placement.decode, home.decode);
            placement.decode
        });
        chosen.collect::<HashSet<Name>>().len()
    };
    assert!(choices(0..40) >= 5, "{} of 12 engines", choices(0..40));
    // Negative control: daemons with one order.
    assert_eq!(choices(7..8), 1);
}
