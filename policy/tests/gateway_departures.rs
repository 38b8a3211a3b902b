//! Endpoints that leave, and registrations that come back from an older copy of the store.

mod gateway_support;

use gateway_support::endpoint;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Change, Endpoint, EndpointState, Registry};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

use EndpointState::{Draining, Ready};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn registration(state: EndpointState, started_ms: Option<u64>) -> Endpoint {
    Endpoint {
        state,
        started_ms,
        ..endpoint("a", "shop")
    }
}

/// What happens to the registration of one endpoint.
#[derive(Clone, Copy)]
enum Event {
    /// It is written, with the start of the process.
    Write(EndpointState, Option<u64>),
    Remove,
    /// The store is rolled back to an older copy, and the registration is listed from it.
    RollBackTo(EndpointState, Option<u64>),
    /// The store is rolled back to an older copy without a registration.
    RollBackToNone,
    /// The registrations are listed again, without a rollback.
    List(EndpointState, Option<u64>),
}

use Event::{List, Remove, RollBackTo, RollBackToNone, Write};

/// Applies events that are 100 ms apart; returns the registry and the time of the last one.
fn apply(events: &[Event]) -> (Registry, u64) {
    let mut registry = Registry::default();
    let mut millis = 0;
    for event in events {
        millis += 100;
        let now = at(millis);
        match *event {
            Write(state, started_ms) => {
                registry.apply(Change::Put(registration(state, started_ms)), now);
            }
            Remove => {
                registry.apply(Change::Removed("a".into()), now);
            }
            RollBackTo(state, started_ms) => {
                registry.source_rolled_back(now);
                registry.replace(vec![registration(state, started_ms)], now);
            }
            RollBackToNone => {
                registry.source_rolled_back(now);
                registry.replace(Vec::new(), now);
            }
            List(state, started_ms) => {
                registry.replace(vec![registration(state, started_ms)], now);
            }
        }
    }
    (registry, millis)
}

/// Guards against requests to endpoints that leave, and against endpoints that are not used though
/// they have started again.
fn endpoint_is_usable(events: &[Event], expected: bool) {
    let (registry, _) = apply(events);
    assert_eq!(registry.is_usable(&"a".into()), expected);
}

named_cases! { endpoint_is_usable:
    not_when_the_copy_lists_a_leaving_process_as_ready(
        &[Write(Ready, Some(1)), Write(Draining, Some(1)), RollBackTo(Ready, Some(1))], false);
    not_when_the_copy_lists_a_leaving_process_without_a_start(
        &[Write(Ready, None), Write(Draining, None), RollBackTo(Ready, None)], false);
    not_when_the_copy_lists_a_process_that_left(
        &[Write(Draining, Some(1)), Remove, RollBackTo(Ready, Some(1))], false);
    not_when_the_copy_lists_an_ended_registration(
        &[Write(Ready, Some(1)), Remove, RollBackTo(Ready, Some(1))], false);
    not_when_the_copy_lists_an_earlier_process_than_the_one_that_left(
        &[Write(Ready, Some(1)), Write(Draining, Some(2)), Remove,
          RollBackTo(Ready, Some(1)), RollBackTo(Ready, Some(2))], false);
    not_when_a_leaving_process_is_written_as_ready(
        &[Write(Draining, Some(1)), RollBackTo(Ready, Some(1)), Write(Ready, Some(1))], false);
    not_when_a_leaving_process_is_listed_as_ready_without_a_rollback(
        &[Write(Draining, Some(1)), List(Ready, Some(1))], false);
    when_a_later_process_is_in_the_copy(
        &[Write(Draining, Some(1)), Remove, RollBackTo(Ready, Some(2))], true);
    when_a_later_process_registers(
        &[Write(Draining, Some(1)), Write(Ready, Some(2))], true);
    when_a_process_without_a_start_registers_after_its_end(
        &[Write(Draining, None), Remove, Write(Ready, None)], true);
    when_an_ended_registration_is_written_again_after_a_rollback(
        &[Write(Ready, Some(1)), Remove, RollBackTo(Ready, Some(1)), Write(Ready, Some(1))], true);
    when_an_ended_registration_is_listed_without_a_rollback(
        &[Write(Ready, Some(1)), Remove, List(Ready, Some(1))], true);
    when_it_is_missing_in_the_copy(&[Write(Ready, Some(1)), RollBackToNone], true);
    when_the_copy_lists_an_earlier_process(
        &[Write(Ready, Some(2)), RollBackTo(Ready, Some(1))], true);
}

#[test]
fn the_later_process_stays_known_when_the_copy_lists_an_earlier_one() {
    let (mut registry, millis) = apply(&[Write(Ready, Some(2)), RollBackTo(Ready, Some(1))]);
    assert_eq!(registry.get(&"a".into()).unwrap().started_ms, Some(2));
    assert!(registry.expire(at(millis + 2_000)).is_empty());
    // Not registered again in time: it has stopped.
    assert_eq!(registry.expire(at(millis + 2_200)), [Name::from("a")]);
}

#[test]
fn an_endpoint_missing_in_the_copy_has_time_to_register_again() {
    let (mut registry, millis) = apply(&[Write(Ready, Some(1)), RollBackToNone]);
    registry.apply(
        Change::Put(registration(Ready, Some(1))),
        at(millis + 1_900),
    );
    assert!(registry.expire(at(millis + 2_500)).is_empty());
    assert!(registry.is_usable(&"a".into()));
}

/// Guards against an endpoint that is never used again as its registration was written before the
/// listing.
#[test]
fn an_ended_registration_that_stays_in_the_restored_store_is_used() {
    let events = [Write(Ready, Some(1)), Remove, RollBackTo(Ready, Some(1))];
    let (mut registry, millis) = apply(&events);
    assert!(registry.confirm(at(millis + 9_000)).is_empty());
    assert_eq!(registry.confirm(at(millis + 10_100)), [Name::from("a")]);
    assert!(registry.is_usable(&"a".into()));
}

#[test]
fn an_ended_registration_that_ends_in_the_restored_store_is_not_used() {
    let events = [
        Write(Ready, Some(1)),
        Remove,
        RollBackTo(Ready, Some(1)),
        Remove,
    ];
    let (mut registry, millis) = apply(&events);
    assert!(registry.confirm(at(millis + 20_000)).is_empty());
    assert!(!registry.is_usable(&"a".into()));
}

/// Guards against a memory that grows with all endpoints that have ever left.
#[test]
fn departures_are_forgotten_by_age_and_number() {
    let mut registry = Registry::default();
    for number in 0..2_000 {
        let id = Name::from(format!("left-{number}"));
        let left = Endpoint {
            started_ms: Some(1),
            ..endpoint(&id, "shop")
        };
        registry.apply(Change::Put(left.clone()), at(number));
        registry.apply(Change::Removed(id), at(number));
    }
    assert_eq!(registry.departures_len(), 1_024);
    registry.expire(at(70_000));
    assert_eq!(registry.departures_len(), 0);
}

/// Registers an endpoint that then says in a response that it leaves.
fn said_leaving(started_ms: Option<u64>) -> Registry {
    let mut registry = Registry::default();
    registry.apply(Change::Put(registration(Ready, started_ms)), at(0));
    assert!(registry.record_said_leaving(&"a".into(), started_ms, at(100)));
    assert!(!registry.record_said_leaving(&"a".into(), started_ms, at(150)));
    registry
}

#[test]
fn what_an_endpoint_says_goes_before_its_registration() {
    let mut registry = said_leaving(Some(5));
    registry.apply(Change::Put(registration(Ready, Some(5))), at(200));
    assert!(!registry.is_usable(&"a".into()));
    registry.apply(Change::Put(registration(Ready, Some(6))), at(300));
    assert!(registry.is_usable(&"a".into()));
    // A late response of the process before.
    assert!(!registry.record_said_leaving(&"a".into(), Some(5), at(400)));
    assert!(registry.is_usable(&"a".into()));
}

#[test]
fn what_an_endpoint_says_holds_after_its_registration_has_ended() {
    let mut registry = said_leaving(Some(5));
    registry.apply(Change::Removed("a".into()), at(200));
    registry.apply(Change::Put(registration(Ready, Some(5))), at(300));
    assert!(!registry.is_usable(&"a".into()));
}

/// Guards against one daemon that makes all others refuse an endpoint for good.
#[test]
fn reports_of_other_daemons_hold_for_a_limited_time() {
    let reports = said_leaving(Some(5)).departure_reports(at(200));
    let mut registry = Registry::default();
    registry.apply(Change::Put(registration(Ready, Some(5))), at(0));
    assert_eq!(
        registry.merge_departures(reports.clone(), at(200)),
        [Name::from("a")]
    );
    assert!(!registry.is_usable(&"a".into()));
    registry.apply(Change::Put(registration(Ready, Some(5))), at(300));
    assert!(!registry.is_usable(&"a".into()));
    assert!(
        registry.departure_reports(at(300)).is_empty(),
        "reports are not passed on"
    );
    assert!(registry.expire_reports(at(10_000)).is_empty());
    assert_eq!(registry.expire_reports(at(10_200)), [Name::from("a")]);
    assert!(registry.is_usable(&"a".into()));
    assert!(
        registry.merge_departures(reports, at(10_300)).is_empty(),
        "too old"
    );
}

#[test]
fn reports_concern_one_process() {
    let reports = said_leaving(Some(5)).departure_reports(at(200));
    let mut registry = Registry::default();
    registry.apply(Change::Put(registration(Ready, Some(6))), at(0));
    assert!(
        registry
            .merge_departures(reports.clone(), at(200))
            .is_empty()
    );
    let mut registry = Registry::default();
    registry.apply(Change::Put(registration(Ready, Some(5))), at(0));
    registry.merge_departures(reports, at(200));
    registry.apply(Change::Put(registration(Ready, Some(6))), at(300));
    assert!(registry.is_usable(&"a".into()));
}

#[test]
fn reports_are_bounded_in_age_and_number() {
    let mut registry = Registry::default();
    for number in 0..100 {
        let id = Name::from(format!("left-{number}"));
        registry.apply(Change::Put(endpoint(&id, "shop")), at(number));
        registry.record_said_leaving(&id, None, at(number));
    }
    let reports = registry.departure_reports(at(200));
    assert_eq!(reports.len(), 64);
    assert_eq!(reports[0].endpoint.as_str(), "left-99");
    assert!(registry.departure_reports(at(10_100)).is_empty());
}
