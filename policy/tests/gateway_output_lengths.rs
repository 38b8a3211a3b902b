//! Output lengths that are learned by route.

mod gateway_support;

use gateway_support::{Fleet, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{EngineWork, Prompt, Route};
use ragwortgrade_testutil::named_cases;

const NOW: Instant = Instant::from_millis(1_000);

/// Guards against long outputs of callers without a right hint that are sent to an engine with many
/// sequences because its prefills end a little earlier.
fn goes_to_the_engine_with_fewer_sequences(hint: Option<u32>, outputs: usize, is_avoided: bool) {
    let mut fleet = Fleet::new(0, 2).with_slots(128);
    let request = Prompt {
        output_tokens_max: 2_000,
        output_tokens_hint: hint,
        parts: Vec::new(),
        ..prompt(600, None)
    };
    // Lengths are learned where requests are ordered by need: the less urgent rank has the shorter
    // target.
    let route = route(0);
    let less_urgent = Route {
        name: "less-urgent".into(),
        rank: 1,
        target: route.target / 2,
        ..route.clone()
    };
    fleet.engines.apply_routes([&route, &less_urgent]);
    let preferred = fleet.place(&request, &route, NOW).unwrap().decode;
    let other = if &*preferred == "decode-0" {
        "decode-1"
    } else {
        "decode-0"
    };
    let busy = EngineWork {
        sequences: 60,
        ..EngineWork::default()
    };
    let mut queued = EngineWork::default();
    queued.prefill_ms[0] = 150.0;
    queued.longest_ms[0] = 150.0;
    let work = vec![(preferred.clone(), busy), (other.into(), queued)];
    fleet.engines.update_peer(&"peer".into(), work, NOW);
    for _ in 0..outputs {
        fleet
            .engines
            .observe_output_length(&route.name, hint, 1_500);
    }
    let placement = fleet.place(&request, &route, NOW).unwrap();
    assert_eq!(placement.decode != preferred, is_avoided);
}

named_cases! { goes_to_the_engine_with_fewer_sequences:
    after_long_outputs_without_a_hint(None, 200, true);
    after_long_outputs_despite_a_hint(Some(20), 200, true);
    not_after_few_outputs(None, 5, false);
    not_before_the_first_output(Some(20), 0, false);
    with_a_hint_of_a_long_output(Some(1_500), 0, true);
}
