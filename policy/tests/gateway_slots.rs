//! Slots of decode engines that many daemons fill at the same time.

mod gateway_support;
mod slot_fleet;

use std::time::Duration;

use ragwortgrade_testutil::named_cases;
use slot_fleet::{Setup, play};

/// Longest wait for a slot that counts as none: a part of the time to the first event that callers
/// accept, 500 ms.
const WAIT_MAX: Duration = Duration::from_millis(100);

/// Guards against prompts that wait for a slot of some engines while others have free ones.
fn few_wait_for_a_slot(daemons: usize, decoders: usize, used_slots: f64) {
    let outcome = play(&Setup {
        daemons,
        decoders,
        data_centres: 5,
        used_slots,
        chooses_decoder_anew: true,
        time: Duration::from_secs(8),
    });
    let fraction = outcome.waiting_fraction(WAIT_MAX);
    assert!(fraction <= 0.05, "{fraction} of the prompts wait");
}

named_cases! { few_wait_for_a_slot:
    of_9_daemons(9, 5, 0.5);
    of_81_daemons(81, 45, 0.5);
    a_third_of_the_slots(40, 40, 0.35);
    half_of_the_slots(40, 40, 0.5);
    most_slots(40, 40, 0.65);
    many_daemons(100, 80, 0.5);
}

/// Control: the same load fails when the decode engine is the one of the placement.
#[test]
fn many_wait_without_a_second_choice() {
    let outcome = play(&Setup {
        daemons: 100,
        decoders: 80,
        data_centres: 5,
        used_slots: 0.5,
        chooses_decoder_anew: false,
        time: Duration::from_secs(8),
    });
    let fraction = outcome.waiting_fraction(WAIT_MAX);
    assert!(fraction > 0.05, "{fraction} of the prompts wait");
}
