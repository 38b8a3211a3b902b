//! How a request ends that no endpoint answered.

use std::time::Duration;

use http::{Response, StatusCode};
use ragwortgrade_policy::gateway::{Failure, Outcome, Step, next_step};

use super::answer::Answer;
use super::request::Inquiry;
use super::status::{self, RETRY_AFTER_DEFAULT};

/// Refuses a request; where it may have run, no promise is made that it has not.
pub(super) fn refuse(inquiry: &Inquiry, reason: &str, retry_after: Duration) -> Response<Answer> {
    if inquiry.may_have_run() {
        return status::own(StatusCode::BAD_GATEWAY, "outcome_unknown");
    }
    status::not_run(reason, retry_after)
}

/// Returns the final answer after a failed attempt, or `None` when another attempt is due.
///
/// `passed` is the endpoint's own failure, if it gave one.
pub(super) fn conclude(
    inquiry: &Inquiry,
    failure: Failure,
    passed: Option<Response<Answer>>,
) -> Option<Response<Answer>> {
    let may_have_run = inquiry.may_have_run();
    let is_repeat_allowed = !may_have_run || inquiry.repeat().allows_second_run();
    let can_retry = is_repeat_allowed
        && inquiry.has_attempts_left()
        && (failure == Failure::NotSent || inquiry.take_retry());
    match next_step(failure, inquiry.repeat(), may_have_run, can_retry) {
        Step::Retry => {
            log::info!(request = inquiry.id(), reason:? = failure; "retry");
            inquiry.shared.metrics.count("retries.sent", 1);
            None
        }
        Step::End(Outcome::PassOn) => {
            let failed = || status::own(StatusCode::BAD_GATEWAY, "endpoint_failed");
            Some(passed.unwrap_or_else(failed))
        }
        Step::End(Outcome::Unknown | Outcome::NotRun) => {
            Some(refuse(inquiry, "not_run", RETRY_AFTER_DEFAULT))
        }
    }
}
