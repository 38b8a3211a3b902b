//! Priorities where a more urgent rank has the longer target.

mod gateway_support;

use std::time::Duration;

use gateway_support::{Fleet, prompt, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{EngineWork, Route};
use ragwortgrade_testutil::named_cases;

const NOW: Instant = Instant::from_millis(1_000);

fn kind(rank: u8, target_ms: u64) -> Route {
    Route {
        name: format!("kind-{rank}").into(),
        target: Duration::from_millis(target_ms),
        ..route(rank)
    }
}

/// Routes of one service: the most urgent rank has the longest target.
fn contradictory() -> [Route; 3] {
    [kind(0, 1_000), kind(1, 500), kind(2, 500)]
}

/// Returns the priority of a prompt while engines have prefill work of that many ms at `level`.
fn priority(routes: &[Route], route: &Route, tokens: u32, level: usize, busy_ms: f64) -> u8 {
    let mut fleet = Fleet::new(2, 2);
    fleet.engines.apply_routes(routes);
    let mut work = EngineWork::default();
    work.prefill_ms[level] = busy_ms;
    work.longest_ms[level] = busy_ms.min(50.0);
    let engines = ["prefill-0", "prefill-1", "decode-0", "decode-1"];
    fleet.report_work(&engines, work, NOW);
    fleet
        .place(&prompt(tokens, None), route, NOW)
        .unwrap()
        .priority
}

/// Guards against requests with time to spare that go before others that are hardly in time.
#[test]
fn priorities_follow_the_spare_time() {
    let routes = contradictory();
    let of = |route: &Route, tokens| priority(&routes, route, tokens, 0, 0.0);
    assert_eq!(
        of(&routes[0], 1_800),
        4,
        "spare time beyond the shortest target"
    );
    assert_eq!(of(&routes[1], 628), 2);
    assert_eq!(
        of(&routes[2], 628),
        2,
        "as much spare time as the rank before"
    );
    assert_eq!(
        of(&routes[2], 20_000),
        0,
        "less than half of the target is left"
    );
}

/// Guards against an urgent rank that is served late because others go first.
#[test]
fn an_urgent_rank_goes_first_without_spare_time() {
    let routes = contradictory();
    let of = |busy_ms| priority(&routes, &routes[0], 1_800, 2, busy_ms);
    assert_eq!(of(20.0), 4);
    assert_eq!(of(400.0), 0, "its spare time is used up");
}

/// Guards against other priorities in services without a contradiction.
fn present_order(routes: &[Route]) {
    for route in routes {
        for tokens in [628, 20_000] {
            assert_eq!(priority(routes, route, tokens, 0, 0.0), route.rank * 2);
        }
    }
}

fn on_another_service(route: Route) -> Route {
    Route {
        traffic_split: vec![("others".into(), 1)],
        ..route
    }
}

named_cases! { present_order:
    with_equal_targets(&[kind(0, 500), kind(1, 500), kind(2, 500)]);
    with_longer_targets_of_less_urgent_ranks(&[kind(0, 400), kind(1, 500), kind(2, 1_000)]);
    with_one_rank(&[kind(1, 500), kind(1, 1_000)]);
    of_a_service_apart(&[on_another_service(kind(0, 1_000)), kind(1, 500)]);
}
