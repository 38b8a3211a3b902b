//! Placement in a fleet so large that a decision compares a sample of the engines.

mod gateway_support;

use std::collections::HashSet;

use gateway_support::{Fleet, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::EngineWork;
use ragwortgrade_schema::Name;

const NOW: Instant = Instant::from_millis(1_000);
const PREFILL_ENGINES: usize = 300;
const DECODE_ENGINES: usize = 700;

/// Guards against a refusal while an engine outside the sample has room.
#[test]
fn the_only_engine_with_room_is_found() {
    let mut fleet = Fleet::new(0, DECODE_ENGINES);
    let mut queued = EngineWork {
        sequences: 40,
        ..EngineWork::default()
    };
    queued.prefill_ms[0] = 3_000.0;
    queued.longest_ms[0] = 3_000.0;
    let names: Vec<String> = (1..DECODE_ENGINES)
        .map(|it| format!("decode-{it}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.report_work(&names, queued, NOW);
    let placement = fleet.place(&prompt(600, None), &route(2), NOW).unwrap();
    assert_eq!(placement.decode, Name::from("decode-0"));
}

/// Guards against shared parts that are prefilled again on many engines.
#[test]
fn prompts_with_the_same_document_stay_at_one_engine() {
    let fleet = Fleet::new(PREFILL_ENGINES, DECODE_ENGINES);
    let placed = (0..50).map(|millis| {
        let now = Instant::from_millis(1_000 + millis);
        let placement = fleet.place(&prompt(20_000, Some(7)), &route(2), now);
        placement.unwrap().prefill.unwrap()
    });
    assert_eq!(placed.collect::<HashSet<Name>>().len(), 1);
}

/// Guards against a sample that is the same at each decision.
#[test]
fn work_is_spread_over_the_fleet() {
    let mut fleet = Fleet::new(0, DECODE_ENGINES);
    let mut used = HashSet::new();
    for millis in 0..300 {
        let now = Instant::from_millis(1_000 + millis);
        let mut request = prompt(600, None);
        request.parts.truncate(1);
        let placement = fleet.place(&request, &route(2), now).unwrap();
        fleet
            .engines
            .sequence_sent(&placement.decode, &request, now);
        used.insert(placement.decode);
    }
    assert!(used.len() >= 150, "{} engines", used.len());
}
