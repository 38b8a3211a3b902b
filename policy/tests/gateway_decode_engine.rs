//! Decode engine of a prompt that was prefilled on another engine.

mod gateway_support;

use gateway_support::{Fleet, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::EngineWork;
use ragwortgrade_schema::Name;

const NOW: Instant = Instant::from_millis(1_000);

/// Guards against a prompt that is prefilled again as its decode engine has left meanwhile.
#[test]
fn another_decode_engine_takes_over_after_a_remote_prefill() {
    let mut fleet = Fleet::new(2, 3);
    let prompt = prompt(20_000, None);
    let placement = fleet.place(&prompt, &route(2), NOW).unwrap();
    let others = ["decode-0", "decode-1", "decode-2"].map(Name::from);
    let others: Vec<&Name> = others
        .iter()
        .filter(|id| **id != placement.decode)
        .collect();
    let mut queued_work = EngineWork::default();
    queued_work.prefill_ms[0] = 300.0;
    queued_work.longest_ms[0] = 300.0;
    fleet.report_work(&[others[0].as_str()], queued_work, NOW);
    let left = placement.decode.clone();
    let replacement =
        fleet.decoder_after_prefill(&placement, &prompt, std::slice::from_ref(&left), NOW);
    assert_eq!(replacement.as_ref(), Some(others[1]), "the less busy one");
    let excluded = [left.clone(), others[1].clone()];
    let replacement = fleet.decoder_after_prefill(&placement, &prompt, &excluded, NOW);
    assert_eq!(replacement.as_ref(), Some(others[0]));
    let excluded = [left, others[0].clone(), others[1].clone()];
    assert_eq!(
        fleet.decoder_after_prefill(&placement, &prompt, &excluded, NOW),
        None
    );
}

/// Guards against a prompt that waits for a slot of the engine that seemed best before its prefill,
/// while other engines have become better.
#[test]
fn the_decode_engine_is_chosen_anew_after_a_remote_prefill() {
    let mut fleet = Fleet::new(2, 3).with_slots(12);
    let prompt = prompt(20_000, None);
    let placement = fleet.place(&prompt, &route(2), NOW).unwrap();
    let decoder = fleet.decoder_after_prefill(&placement, &prompt, &[], NOW);
    assert_eq!(decoder.as_ref(), Some(&placement.decode));
    let full = EngineWork {
        sequences: 12,
        ..EngineWork::default()
    };
    fleet.report_work(&[&placement.decode], full, NOW);
    let decoder = fleet.decoder_after_prefill(&placement, &prompt, &[], NOW);
    assert!(decoder.is_some_and(|it| it != placement.decode));
}
