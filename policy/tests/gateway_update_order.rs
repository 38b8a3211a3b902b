//! Order of the updates of daemons.

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::UpdateOrder;
use ragwortgrade_schema::Name;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn late_and_repeated_updates_are_not_newer() {
    let mut order = UpdateOrder::default();
    let daemon = Name::from("d-1");
    assert!(order.record_if_newer(&daemon, 500, 7, at(1_000)));
    assert!(!order.record_if_newer(&daemon, 500, 7, at(1_001)));
    assert!(!order.record_if_newer(&daemon, 500, 6, at(1_002)));
    assert!(order.record_if_newer(&daemon, 500, 9, at(1_003)));
    // A process that started later begins to count anew.
    assert!(order.record_if_newer(&daemon, 600, 1, at(1_004)));
    assert!(!order.record_if_newer(&daemon, 500, 10, at(1_005)));
    assert!(order.record_if_newer(&"d-2".into(), 500, 1, at(1_006)));
}

/// Guards against memory that grows with the names in forged datagrams.
#[test]
fn the_number_of_daemons_is_bounded() {
    let mut order = UpdateOrder::default();
    let mut most = 0;
    for number in 0..10_000 {
        let now = at(1_000 + number);
        order.record_if_newer(&format!("forged-{number}").into(), 1, 1, now);
        // A daemon that goes on sending is not forgotten.
        assert!(order.record_if_newer(&"d-1".into(), 500, 1 + number, now));
        assert!(!order.record_if_newer(&"d-1".into(), 500, 1 + number, now));
        most = most.max(order.len());
    }
    assert!(most <= 4_096, "{most} daemons");
    // A forged start of a process shuts its daemon out for a limited time only.
    assert!(order.record_if_newer(&"d-1".into(), u64::MAX, 1, at(20_000)));
    assert!(!order.record_if_newer(&"d-1".into(), 500, 20_000, at(79_000)));
    assert!(order.record_if_newer(&"d-1".into(), 500, 20_001, at(80_000)));
    order.record_if_newer(&"d-2".into(), 500, 1, at(200_000));
    assert_eq!(order.len(), 1, "silent daemons are forgotten");
}
