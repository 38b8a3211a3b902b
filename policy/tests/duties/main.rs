//! Election of the holder of duties, and usage reports.

mod simulation;
mod units;

use ragwortgrade_testutil::named_cases;

use simulation::{Disabled, Simulation, Violation};

const SEEDS: u64 = 2_000;
const RUN_MS: u64 = 60_000;

/// Returns the first violation with a mechanism disabled, and its seed.
fn first_violation(disabled: Disabled) -> Option<(u64, Violation)> {
    (0..SEEDS).find_map(|seed| {
        let mut simulation = Simulation::new(seed, disabled);
        simulation.run(RUN_MS);
        simulation.violation.map(|violation| (seed, violation))
    })
}

/// Guards against lower or shared tokens, former holders that return early and second contents of a
/// window, with lost answers, late writes, suspended and cut holders and a restored store.
#[test]
fn holders_follow_the_rules_under_faults() {
    assert_eq!(first_violation(Disabled::Nothing), None);
}

/// Guards against an election or reports that never go on after the faults.
#[test]
fn reports_go_on_after_faults() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, Disabled::Nothing);
        simulation.run(RUN_MS);
        simulation.run_quietly(15_000);
        let before = simulation.reported();
        simulation.run_quietly(10_000);
        let reported = simulation.reported() - before;
        assert!((9..=11).contains(&reported), "seed {seed}: {reported}");
    }
}

fn assert_violated(disabled: Disabled) {
    assert!(first_violation(disabled).is_some());
}

// Negative controls: without each mechanism the simulation finds a violation.
named_cases! { assert_violated:
    without_initial_wait(Disabled::InitialWait);
    without_lease_check(Disabled::LeaseCheck);
    without_token_floor(Disabled::TokenFloor);
    without_record(Disabled::Record);
    without_restore_skip(Disabled::RestoreSkip);
}
