//! Registrations, routes, plain services and decisions after failed attempts.

mod gateway_support;

use gateway_support::{endpoint, route};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    CallOutcome, Catalog, Change, DeliverySemantics, Endpoint, EndpointState, Failure, Health,
    Limits, NextStep, Outcome, PlainPool, Registry, Route, next_step,
};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn registry(ids: &[&str]) -> Registry {
    let mut registry = Registry::default();
    for id in ids {
        registry.apply(Change::Put(endpoint(id, "shop")), at(0));
    }
    registry
}

fn usable(registry: &Registry) -> Vec<&str> {
    let mut ids: Vec<&str> = registry.usable().map(|it| it.id.as_str()).collect();
    ids.sort_unstable();
    ids
}

#[test]
fn a_removed_or_draining_endpoint_gets_no_new_work() {
    let mut registry = registry(&["a", "b", "c"]);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint("a", "shop")
    };
    registry.apply(Change::Put(draining), at(10));
    registry.apply(Change::Removed("b".into()), at(10));
    assert_eq!(usable(&registry), ["c"]);
    registry.apply(Change::Unreadable("c".into()), at(20));
    assert!(usable(&registry).is_empty());
}

#[test]
fn a_registration_that_lapses_in_an_outage_may_be_renewed() {
    let mut registry = registry(&["a", "b"]);
    registry.source_lost();
    registry.source_restored(at(5_000));
    registry.replace(Vec::new(), at(5_000));
    assert_eq!(usable(&registry), ["a", "b"]);
    registry.apply(Change::Put(endpoint("a", "shop")), at(6_500));
    assert!(registry.expire(at(7_000)).is_empty());
    assert_eq!(registry.expire(at(7_500)), [Name::from("b")]);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against endpoints that stay in use although the source answered all the while, or was silent
/// for too short a time.
#[test]
fn a_registration_that_ends_without_an_outage_expires_when_the_source_answers() {
    let mut registry = registry(&["a", "b"]);
    registry.source_lost();
    registry.apply(Change::Removed("a".into()), at(5_000));
    assert!(registry.is_lapsed(&"a".into()));
    assert_eq!(usable(&registry), ["a", "b"]);
    registry.source_answered();
    assert_eq!(registry.expire(at(5_010)), [Name::from("a")]);
    registry.apply(Change::Removed("b".into()), at(5_020));
    assert!(registry.is_empty());
    assert_eq!(registry.lapsed().count(), 0);
}

/// Records that other daemons have read the registrations at these times, in ms.
fn vouch(registry: &mut Registry, times: impl IntoIterator<Item = u64>) {
    for time in times {
        registry.source_vouched(at(time));
    }
}

/// Guards against a daemon that uses endpoints which have left, as the source answers only others.
#[test]
fn a_registration_that_ends_while_others_read_it_has_not_lapsed() {
    let mut registry = registry(&["i-1", "i-2"]);
    vouch(&mut registry, (1_000..=6_000).step_by(1_000));
    registry.source_lost();
    assert!(registry.apply(Change::Removed("i-1".into()), at(6_500)));
    assert_eq!(usable(&registry), ["i-2"]);
    // A gap in which registrations can lapse.
    assert!(!registry.apply(Change::Removed("i-2".into()), at(8_500)));
    assert_eq!(usable(&registry), ["i-2"]);
}

/// Guards against endpoints that are dropped as soon as a cut has ended, in which their
/// registrations lapsed.
#[test]
fn others_that_read_again_leave_lapsed_registrations_time_to_be_renewed() {
    let mut registry = registry(&["i-1"]);
    vouch(&mut registry, [1_000, 2_000, 3_000]);
    registry.source_lost();
    vouch(&mut registry, [9_000]);
    assert!(!registry.apply(Change::Removed("i-1".into()), at(9_100)));
    vouch(&mut registry, [10_000, 11_000]);
    assert!(registry.expire(at(11_050)).is_empty());
    vouch(&mut registry, [11_200]);
    assert_eq!(registry.expire(at(11_250)), [Name::from("i-1")]);
}

#[test]
fn without_an_outage_a_missing_registration_is_gone_at_once() {
    let mut registry = registry(&["a", "b"]);
    registry.replace(vec![endpoint("a", "shop")], at(5_000));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn an_endpoint_that_was_leaving_before_an_outage_does_not_return() {
    let mut registry = registry(&["a"]);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint("a", "shop")
    };
    registry.apply(Change::Put(draining), at(10));
    registry.source_lost();
    registry.apply(Change::Removed("a".into()), at(20));
    assert!(registry.is_empty());
}

#[test]
fn a_restart_under_the_same_identity_is_a_change() {
    let mut registry = registry(&["a"]);
    let same = Change::Put(endpoint("a", "shop"));
    assert!(!registry.apply(same, at(1)));
    let restarted = Endpoint {
        started_ms: Some(7),
        ..endpoint("a", "shop")
    };
    assert!(registry.apply(Change::Put(restarted), at(2)));
}

fn route_at(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        ..route(0)
    }
}

/// Guards against routing a request by a shorter matching prefix or by another host.
fn matches_route(host: &str, path: &str, expected: Option<&str>) {
    let routes = ["/a/", "/a/b/", "/c/"].map(route_at).to_vec();
    let catalog = Catalog::new(1, Limits::default(), routes, Vec::new());
    let found = catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

named_cases! { matches_route:
    longest_prefix("shop.example", "/a/b/x", Some("/a/b/"));
    shorter_prefix("shop.example", "/a/bx", Some("/a/"));
    no_prefix("shop.example", "/ab/", None);
    other_host("mill.example", "/a/", None);
}

#[test]
fn the_traffic_split_of_a_route_follows_the_weights() {
    let route = Route {
        traffic_split: vec![("old".into(), 90), ("new".into(), 10)],
        ..route(0)
    };
    let new = (0..10_000)
        .filter(|number| {
            let service = route.service_for(&format!("{number:x}")).unwrap();
            service.as_str() == "new"
        })
        .count();
    assert!((800..1_200).contains(&new), "{new}");
}

/// Guards against running a non-idempotent request twice and against reporting a request that may
/// have run as not run.
fn next_step_is(
    failure: Failure,
    delivery: DeliverySemantics,
    may_have_run: bool,
    can_retry: bool,
    expected: NextStep,
) {
    assert_eq!(
        next_step(failure, delivery, may_have_run, can_retry),
        expected
    );
}

named_cases! { next_step_is:
    at_most_once_not_run(
        Failure::NotRun, DeliverySemantics::AtMostOnce, false, true,
        NextStep::Retry);
    at_most_once_lost(
        Failure::Unknown, DeliverySemantics::AtMostOnce, true, true,
        NextStep::End(Outcome::Unknown));
    at_most_once_not_run_after_a_loss(
        Failure::NotRun, DeliverySemantics::AtMostOnce, true, true,
        NextStep::End(Outcome::Unknown));
    at_most_once_not_run_without_budget(
        Failure::NotRun, DeliverySemantics::AtMostOnce, false, false,
        NextStep::End(Outcome::NotRun));
    idempotent_lost(Failure::Unknown, DeliverySemantics::Idempotent, true, true, NextStep::Retry);
    idempotent_failed(
        Failure::Failed, DeliverySemantics::Idempotent, true, false,
        NextStep::End(Outcome::ForwardError));
    stream_lost(
        Failure::Unknown, DeliverySemantics::Stream, true, true,
        NextStep::End(Outcome::Unknown));
    resumable_stream_lost(
        Failure::Unknown, DeliverySemantics::ResumableStream, true, true,
        NextStep::Retry);
}

#[test]
fn an_endpoint_that_fails_is_paused_and_tried_by_one_request() {
    let mut health = Health::default();
    health.failed(at(0));
    assert!(
        health.is_usable(at(0)),
        "one failure may be the request's fault"
    );
    health.failed(at(0));
    assert!(!health.is_usable(at(400)));
    assert!(health.is_usable(at(600)));
    health.begin_trial(at(600));
    assert!(!health.is_usable(at(601)), "the others wait for the trial");
    health.succeeded();
    assert!(health.is_usable(at(602)));
}

#[test]
fn pauses_of_an_endpoint_are_bounded() {
    let mut health = Health::default();
    for _ in 0..50 {
        health.unreachable(at(0));
    }
    assert!(health.is_usable(at(4_001)));
}

#[test]
fn plain_calls_go_to_the_least_busy_local_endpoint() {
    let remote = Endpoint {
        data_centre: "b".into(),
        ..endpoint("far", "shop")
    };
    let endpoints = [
        endpoint("near-1", "shop"),
        endpoint("near-2", "shop"),
        remote,
    ];
    let mut pool = PlainPool::default();
    let own_data_centre = Name::from("a");
    let mut chosen = Vec::new();
    for _ in 0..8 {
        let endpoint = pool
            .choose(endpoints.iter(), &[], &own_data_centre, at(0))
            .unwrap();
        pool.sent(&endpoint.id, at(0));
        chosen.push(endpoint.id.clone());
    }
    assert_eq!(
        chosen.iter().filter(|id| id.as_str() == "near-1").count(),
        3
    );
    assert_eq!(chosen.iter().filter(|id| id.as_str() == "far").count(), 2);
}

#[test]
fn plain_calls_leave_a_failing_endpoint() {
    let endpoints = [endpoint("one", "shop"), endpoint("two", "shop")];
    let mut pool = PlainPool::default();
    for _ in 0..3 {
        pool.sent(&"one".into(), at(0));
        pool.ended(&"one".into(), CallOutcome::Failed, at(0));
    }
    let own_data_centre = Name::from("a");
    let chosen = pool
        .choose(endpoints.iter(), &[], &own_data_centre, at(1))
        .unwrap();
    assert_eq!(chosen.id.as_str(), "two");
    let tried = [Name::from("two")];
    let only = pool
        .choose(endpoints.iter(), &tried, &own_data_centre, at(1))
        .unwrap();
    assert_eq!(only.id.as_str(), "one");
}

#[test]
fn a_lapsed_registration_expires_within_the_permitted_time() {
    // The platform permits 3 s after a daemon's return; detecting the return may take 0.6 s of
    // them.
    let mut registry = registry(&["a"]);
    registry.source_lost();
    registry.source_restored(at(5_000));
    registry.replace(Vec::new(), at(5_100));
    registry.expire(at(7_300));
    assert!(registry.is_empty());
}
