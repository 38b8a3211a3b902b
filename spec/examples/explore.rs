//! Explores the models to exhaustion, then each mechanism's scenario without the mechanism.
//!
//! `cargo run --release -p ragwortgrade-spec --example explore -- --size large`

use std::process::ExitCode;
use std::time::Instant;

use ragwortgrade_spec::authority::{Mechanism, Scenario, Setup, Size};
use ragwortgrade_spec::{Outcome, check};

const USAGE: &str = "usage: explore [--size small|large]";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let size = match arguments[..] {
        [] | ["--size", "small"] => Size::Small,
        ["--size", "large"] => Size::Large,
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::FAILURE;
        }
    };
    if explore(size) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns whether every search ended as it should.
fn explore(size: Size) -> bool {
    let mut is_right = true;
    for scenario in Scenario::COVERED {
        let outcome = timed(&format!("{scenario:?}"), &Setup::of(scenario, size));
        is_right &= outcome.counterexample.is_none();
    }
    for (mechanism, scenario) in Mechanism::ALL {
        let setup = Setup::of(scenario, Size::Small).without(mechanism);
        let outcome = timed(&format!("{scenario:?} without {mechanism:?}"), &setup);
        is_right &= outcome.counterexample.is_some();
    }
    is_right
}

fn timed(title: &str, setup: &Setup) -> Outcome {
    let start = Instant::now();
    let outcome = check(setup);
    let seconds = start.elapsed().as_secs_f32();
    println!("{title} ({seconds:.1} s): {outcome}");
    outcome
}
