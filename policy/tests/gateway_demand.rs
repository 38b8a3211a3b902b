//! Demand of all daemons: measured, encoded and added up.

use std::collections::HashSet;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::Demand;
use ragwortgrade_policy::gateway::demand::{Arrival, Collector, DemandReport, REPORT_BYTES_MAX};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns a daemon's report after 20 s with a request each 100 ms.
fn report(services: &[Name]) -> DemandReport {
    let mut demand = Demand::default();
    for number in 0..200 {
        let arrival = Arrival {
            prefill_ms: 30.0,
            output_tokens: 200,
            is_refused: number % 4 == 0,
        };
        demand.record(&"models".into(), arrival, at(number * 100));
    }
    demand.report(services.iter(), at(20_000))
}

/// Guards against rates that are lost or changed on the way, and refused requests that don't count.
#[test]
fn rates_survive_the_encoding() {
    let report = report(&["idle".into(), "models".into()]);
    let parsed = DemandReport::from_bytes(&report.to_bytes()).unwrap();
    let demand = parsed.service(&"models".into()).unwrap();
    assert!((demand.prefill_ms - 300.0).abs() < 15.0, "{demand:?}");
    assert!((demand.output_tokens - 2_000.0).abs() < 100.0, "{demand:?}");
    assert!((demand.requests - 10.0).abs() < 0.5, "{demand:?}");
    assert!((demand.refused - 2.5).abs() < 0.5, "{demand:?}");
    let idle = parsed.service(&"idle".into()).unwrap();
    assert_eq!(idle.requests.to_bits(), 0.0_f64.to_bits());
    assert_eq!(parsed.service(&"unknown".into()), None);
}

/// Guards against reports that exceed their share of a datagram.
#[test]
fn reports_are_bounded() {
    let services: Vec<Name> = (0..100).map(|it| format!("s-{it}").into()).collect();
    assert!(report(&services).to_bytes().len() <= REPORT_BYTES_MAX);
}

/// Guards against the use of datagrams of something else.
fn check_is_rejected(bytes: &[u8]) {
    assert_eq!(DemandReport::from_bytes(bytes), None);
}

named_cases! { check_is_rejected:
    empty(&[]);
    unknown_version(&[9, 0]);
    cut_entry(&[1, 0, 1, 2, 3]);
    too_long(&[1; 2 + 16 * 13]);
}

/// Guards against decisions on the demand of some daemons, on old reports or on those of daemons
/// that have left.
fn check_total(heard: usize, age_ms: u64, is_complete: bool) {
    let mut collector = Collector::default();
    let names: Vec<Name> = (0..20).map(|it| format!("front-{it}").into()).collect();
    for daemon in &names[..heard] {
        collector.record(daemon, report(&["models".into()]), at(20_000));
    }
    let left = report(&["models".into()]);
    collector.record(&"left".into(), left, at(20_000));
    let daemons: HashSet<Name> = names.into_iter().collect();
    let total = collector.total(&"models".into(), &daemons, at(20_000 + age_ms));
    assert_eq!(total.is_complete(), is_complete, "{total:?}");
    if is_complete {
        let requests = total.demand.requests;
        assert!((requests - 200.0).abs() < 10.0, "{total:?}");
    }
}

named_cases! { check_total:
    all_daemons(20, 0, true);
    two_datagrams_lost(20, 3_000, true);
    one_silent(19, 0, true);
    a_quarter_silent(15, 0, false);
    no_daemon(0, 0, false);
    old_reports(20, 4_000, false);
}
