//! Requests that crash endpoints.

use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::suspect::{Ledger, Reservations, Standing};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

const GUILTY: u128 = 1;
const INNOCENT: u128 = 2;
const NOW: Instant = Instant::from_millis(1_000);

enum Step {
    Crash(u128, &'static str, u64),
    Completed(u128),
    Pass(Duration),
}
use Step::{Completed, Crash, Pass};

fn stands(steps: &[Step], content: u128, expected: Standing) {
    let (mut ledger, mut now) = (Ledger::default(), NOW);
    for step in steps {
        match step {
            Crash(content, endpoint, incarnation) => {
                ledger.crashed(*content, &Name::from(*endpoint), *incarnation, false, now);
            }
            Completed(content) => ledger.completed(*content),
            Pass(time) => now = now + *time,
        }
    }
    assert_eq!(ledger.standing(content, now), expected);
}

const BOTH_CRASH: [Step; 3] = [
    Crash(GUILTY, "e1", 1),
    Crash(INNOCENT, "e1", 1),
    Crash(GUILTY, "e2", 1),
];

named_cases! { stands:
    unknown_content_is_clear(&[], GUILTY, Standing::Clear);
    one_crash_calls_for_a_trial(&[Crash(GUILTY, "e1", 1)], GUILTY, Standing::Trial);
    only_the_content_of_both_batches_is_refused(&BOTH_CRASH, GUILTY, Standing::Refused);
    the_other_content_of_the_first_batch_is_not(&BOTH_CRASH, INNOCENT, Standing::Trial);
    one_crash_seen_twice_counts_once(
        &[Crash(GUILTY, "e1", 1), Crash(GUILTY, "e1", 1)], GUILTY, Standing::Trial);
    a_restarted_endpoint_counts_again(
        &[Crash(GUILTY, "e1", 1), Crash(GUILTY, "e1", 2)], GUILTY, Standing::Refused);
    a_completed_trial_clears(
        &[Crash(GUILTY, "e1", 1), Completed(GUILTY)], GUILTY, Standing::Clear);
    a_crash_after_clearing_is_the_first(
        &[Crash(GUILTY, "e1", 1), Completed(GUILTY), Crash(GUILTY, "e2", 1)],
        GUILTY, Standing::Trial);
    strikes_expire(
        &[Crash(GUILTY, "e1", 1), Pass(Duration::from_mins(10)), Crash(GUILTY, "e2", 1)],
        GUILTY, Standing::Trial);
}

#[test]
fn gossip_spreads_strikes_and_clearings() {
    // Guards against a third endpoint that crashes when the caller turns to another daemon.
    let (mut first, mut second) = (Ledger::default(), Ledger::default());
    first.crashed(GUILTY, &Name::from("e1"), 1, false, NOW);
    first.crashed(GUILTY, &Name::from("e2"), 1, true, NOW);
    assert_eq!(second.standing(GUILTY, NOW), Standing::Clear);
    second.absorb(&first.gossip(NOW), NOW);
    second.absorb(&first.gossip(NOW), NOW);
    assert_eq!(second.standing(GUILTY, NOW), Standing::Refused);
    first.completed(GUILTY);
    second.absorb(&first.gossip(NOW), NOW);
    assert_eq!(second.standing(GUILTY, NOW), Standing::Clear);
}

#[test]
fn gossip_ends_and_stays_small() {
    // Guards against control traffic that grows with the number of crashes.
    let mut ledger = Ledger::default();
    for content in 0..200 {
        ledger.crashed(content, &Name::from("e1"), 1, false, NOW);
    }
    let mut sent = 0;
    for _ in 0..100 {
        let strikes = ledger.gossip(NOW);
        assert!(strikes.len() <= 48);
        sent += strikes.len();
    }
    assert_eq!(sent, 200 * 12);
}

#[test]
fn memory_is_bounded() {
    let mut ledger = Ledger::default();
    for content in 0..20_000_u64 {
        let now = NOW + Duration::from_millis(content);
        ledger.crashed(content.into(), &Name::from("e1"), 1, false, now);
    }
    let now = NOW + Duration::from_secs(20);
    ledger.expire(now);
    assert_eq!(ledger.standing(0, now), Standing::Clear);
    assert_eq!(ledger.standing(19_999, now), Standing::Trial);
}

const LIMIT: Duration = Duration::from_secs(10);

#[test]
fn two_contents_with_strikes_never_share_an_endpoint() {
    // Guards against an innocent request that is in two crashed batches with the same culprit.
    let (mut ledger, mut reservations) = (Ledger::default(), Reservations::default());
    let (endpoint, first, second) = (Name::from("e1"), Name::from("d1/1"), Name::from("d2/1"));
    ledger.crashed(GUILTY, &Name::from("e0"), 1, false, NOW);
    reservations.started(&endpoint, GUILTY);
    assert!(!reservations.reserve(&endpoint, &first, LIMIT, &ledger, NOW));
    reservations.ended(&endpoint, GUILTY);
    assert!(reservations.reserve(&endpoint, &first, LIMIT, &ledger, NOW));
    assert!(!reservations.reserve(&endpoint, &second, LIMIT, &ledger, NOW));
    let later = NOW + Duration::from_secs(9);
    reservations.started(&endpoint, GUILTY);
    assert!(
        reservations.reserve(&endpoint, &first, LIMIT, &ledger, later),
        "renewal"
    );
    reservations.ended(&endpoint, GUILTY);
    assert!(!reservations.reserve(&endpoint, &second, LIMIT, &ledger, later + LIMIT / 2));
    assert!(reservations.reserve(&endpoint, &second, LIMIT, &ledger, later + LIMIT));
    reservations.release(&endpoint, &second);
    assert!(reservations.reserve(&endpoint, &first, LIMIT, &ledger, later + LIMIT));
}

#[test]
fn contents_without_strikes_share_endpoints() {
    // Negative control: without a strike nothing keeps contents apart.
    let (ledger, mut reservations) = (Ledger::default(), Reservations::default());
    let endpoint = Name::from("e1");
    reservations.started(&endpoint, GUILTY);
    reservations.started(&endpoint, INNOCENT);
    assert_eq!(reservations.running(&endpoint), 2);
    assert!(reservations.reserve(&endpoint, &Name::from("d1/1"), LIMIT, &ledger, NOW));
}
