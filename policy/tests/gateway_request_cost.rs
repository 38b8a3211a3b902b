//! Shares of streams in time with engines of several speeds and three kinds of request, of which
//! the most urgent has the longest target.

mod gateway_support;
mod stream_fleet;

use ragwortgrade_testutil::named_cases;
use stream_fleet::{Outcome, Policy, Setup, play};

const ENGINES: usize = 36;
const TIME_MS: f64 = 10_000.0;
/// Share of a kind's requests by which two runs differ because other requests come first: four of
/// 400.
const NOISE: f64 = 0.01;

fn outcome(speeds: [f64; 3], per_second: f64, loses_engines: bool, policy: Policy) -> [Outcome; 3] {
    play(Setup {
        engines: ENGINES,
        speeds,
        per_second,
        time_ms: TIME_MS,
        loses_engines,
        policy,
        seed: 1,
    })
}

/// Guards against an order or a choice of engines by which a kind of request is served in time less
/// often than by rank on engines that count as alike, and against one that gains nothing.
fn every_kind_is_in_time_as_often(speeds: [f64; 3], per_second: f64, loses_engines: bool) {
    let baseline = outcome(speeds, per_second, loses_engines, Policy::Baseline);
    let by_need = outcome(speeds, per_second, loses_engines, Policy::ByNeed);
    for (before, after) in baseline.iter().zip(&by_need) {
        assert!(
            after.in_time >= before.in_time - NOISE,
            "{by_need:?}, baseline {baseline:?}"
        );
    }
    let in_time = |outcome: &[Outcome; 3]| outcome.iter().map(|it| it.in_time).sum::<f64>();
    assert!(
        in_time(&by_need) > in_time(&baseline),
        "{by_need:?}, baseline {baseline:?}"
    );
}

named_cases! { every_kind_is_in_time_as_often:
    at_a_medium_load([0.7, 0.7, 1.7], 150.0, false);
    at_a_high_load([0.7, 0.7, 1.7], 200.0, false);
    at_an_overload([0.7, 0.7, 1.7], 260.0, false);
    after_the_loss_of_a_fifth([0.7, 0.7, 1.7], 200.0, true);
    with_engines_of_one_speed([1.0, 1.0, 1.0], 200.0, false);
}
