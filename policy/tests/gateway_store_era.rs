//! Eras of a store that is restored from older copies.

use ragwortgrade_policy::gateway::{ResponseEra, StoreEra};
use ragwortgrade_testutil::named_cases;

/// Checks what the last of several responses says about its era. Each response has the number of
/// restores that were noticed when its call was sent, and the era that it names.
fn response_era_is(responses: &[(u64, Option<u64>)], expected: ResponseEra, restores: u64) {
    let mut era = StoreEra::default();
    let mut last = ResponseEra::Current;
    for (sent_after, named) in responses {
        last = era.observe(*sent_after, *named);
    }
    assert_eq!((last, era.restores()), (expected, restores));
}

named_cases! { response_era_is:
    current_when_first_named(&[(0, Some(3))], ResponseEra::Current, 0);
    current_when_unchanged(&[(0, Some(1)), (0, Some(1))], ResponseEra::Current, 0);
    current_when_none_is_named(&[(0, None), (0, None)], ResponseEra::Current, 0);
    current_for_a_failure_without_a_response(&[(0, Some(1)), (0, None)], ResponseEra::Current, 0);
    new_when_it_rises(&[(0, Some(1)), (0, Some(2))], ResponseEra::New, 1);
    new_when_it_rises_twice_before_a_response(
        &[(0, Some(1)), (0, Some(2)), (0, Some(3))],
        ResponseEra::New, 2);
    new_when_the_copy_has_an_older_number(&[(0, Some(5)), (0, Some(4))], ResponseEra::New, 1);
    superseded_for_a_late_response(
        &[(0, Some(1)), (0, Some(2)), (0, Some(1))],
        ResponseEra::Superseded, 1);
    superseded_for_a_call_sent_before_the_restore(
        &[(0, Some(1)), (0, Some(2)), (0, Some(2))],
        ResponseEra::Superseded, 1);
    superseded_for_a_failure_of_a_call_sent_before_the_restore(
        &[(0, Some(1)), (0, Some(2)), (0, None)],
        ResponseEra::Superseded, 1);
    current_after_a_restore(
        &[(0, Some(1)), (0, Some(2)), (1, Some(2))],
        ResponseEra::Current, 1);
    current_when_first_named_late(&[(0, None), (0, Some(2))], ResponseEra::Current, 0);
}
