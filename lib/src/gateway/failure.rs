//! Retries and final responses after failed attempts, and refusals.

use std::time::Duration;

use http::{Response, StatusCode};
use ragwortgrade_policy::gateway::{Failure, NextStep, Outcome, next_step};

use super::local_response::{self, RETRY_AFTER_DEFAULT};
use super::request_context::RequestContext;
use super::response_body::ResponseBody;

/// Returns the refusal of a request. If an endpoint may have run it, the response says that the
/// outcome is unknown instead.
pub(super) fn refuse(
    context: &RequestContext,
    reason: &str,
    retry_after: Duration,
) -> Response<ResponseBody> {
    if context.may_have_run() {
        return local_response::with_reason(StatusCode::BAD_GATEWAY, "outcome_unknown");
    }
    local_response::not_run(reason, retry_after)
}

/// Refuses a request under which, or under a part of whose prompt, endpoints crashed.
pub(super) fn refuse_quarantined(context: &RequestContext) -> Option<Response<ResponseBody>> {
    let shared = &context.shared;
    let now = shared.now();
    let end = shared
        .quarantine
        .borrow()
        .ends_at(&context.fingerprint, now)?;
    let retry_after = end.since(now);
    log::info!(
        request = context.id(), route:% = context.route.name, reason = "in_quarantine",
        shared_parts = context.metadata.prompt.shared_ids(),
        content = format!("{:x}", context.fingerprint.content),
        retry_after_ms = retry_after.as_millis() as u64;
        "request refused: it crashes endpoints"
    );
    shared.metrics.count("requests.quarantined", 1);
    Some(refuse(context, "in_quarantine", retry_after))
}

/// Decides whether a failed attempt is retried; returns the final response, or `None` for a retry.
///
/// `endpoint_response` is the endpoint's own error response, if there is one.
pub(super) fn handle_failure(
    context: &RequestContext,
    failure: Failure,
    endpoint_response: Option<Response<ResponseBody>>,
) -> Option<Response<ResponseBody>> {
    let may_have_run = context.may_have_run();
    let is_repeat_allowed = !may_have_run || context.delivery().allows_second_run();
    let can_retry = is_repeat_allowed
        && context.has_attempts_left()
        && (failure == Failure::NotSent || context.consume_retry());
    match next_step(failure, context.delivery(), may_have_run, can_retry) {
        NextStep::Retry => {
            log::info!(request = context.id(), reason:? = failure; "retrying request");
            context.shared.metrics.count("retries.sent", 1);
            None
        }
        NextStep::End(Outcome::ForwardError) => {
            let failed = || local_response::with_reason(StatusCode::BAD_GATEWAY, "endpoint_failed");
            Some(endpoint_response.unwrap_or_else(failed))
        }
        NextStep::End(Outcome::Unknown | Outcome::NotRun) => {
            if failure == Failure::NotRun {
                context.record_no_capacity();
            }
            Some(refuse(context, "not_run", RETRY_AFTER_DEFAULT))
        }
    }
}
