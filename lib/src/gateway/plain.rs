use std::time::Duration;

use bytes::Bytes;
use http::{Response, response};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{CallOutcome, Endpoint, Failure, Holding};
use ragwortgrade_schema::Name;

use super::crash_detector::CrashDetector;
use super::duties::RunGuard;
use super::exchange::{Exchange, ExchangeError};
use super::failure::{handle_failure, refuse, refuse_quarantined};
use super::local_response::RETRY_AFTER_DEFAULT;
use super::memory_account::MemoryAccount;
use super::request_context::RequestContext;
use super::response_body::ResponseBody;
use super::stream_forwarder::{self, StartedRun};
use super::stream_times::StreamTimes;
use super::stream_work::StreamWork;
use super::work_guard::CallGuard;
use super::{Disposition, Operation, Origin, ResponseInfo};

/// Maximum size of a response that is not a stream, in bytes. Responses are a few KB long; those that
/// are held at once are bounded by the memory budget.
pub(super) const RESPONSE_BYTES_MAX: usize = 4 << 20;

/// Response of an endpoint to one attempt.
enum Answer {
    Complete(response::Parts, ResponseInfo, Bytes),
    /// A stream, with its first bytes, if it has any.
    Stream(Exchange, Option<Bytes>),
}

/// Handles a request to a plain service, with retries.
pub(super) async fn respond(context: &RequestContext) -> Response<ResponseBody> {
    let mut tried: Vec<Name> = Vec::new();
    loop {
        if let Some(response) = refuse_quarantined(context) {
            return response;
        }
        let endpoint = match choose(context, &tried) {
            Ok(endpoint) => endpoint,
            Err((reason, retry_after)) => {
                log::info!(
                    request = context.id(), route:% = context.route.name, reason = reason,
                    attempts = tried.len(), retry_after_ms = retry_after.as_millis() as u64,
                    tenant = context.tenant.as_deref();
                    "call refused"
                );
                context.shared.metrics.count("calls.refused", 1);
                context.record_no_capacity();
                return refuse(context, reason, retry_after);
            }
        };
        log::info!(
            request = context.id(), route:% = context.route.name, endpoint:% = endpoint.id,
            attempt = tried.len() + 1, left_ms = context.time_left().as_millis() as u64;
            "call placed"
        );
        tried.push(endpoint.id.clone());
        let placed_at = context.shared.now();
        let may_have_run_before = context.may_have_run();
        let call = CallGuard::start(&context.shared, &endpoint.id);
        let run = RunGuard::start(&context.shared, context.tenant.as_ref());
        context.record_sent();
        let memory = context.memory.open_other();
        memory.set_holding(Holding::Complete);
        let result = attempt(context, &endpoint, &memory).await;
        let (failure, endpoint_response) = match result {
            Ok(Answer::Stream(exchange, first_bytes)) => {
                return forward_stream(context, exchange, first_bytes, endpoint, call, placed_at);
            }
            Ok(Answer::Complete(head, info, body)) => match classify_response(&head, &info) {
                None => {
                    call.complete();
                    context.shared.update_quarantine(|quarantine, now| {
                        quarantine.record_begin(&context.fingerprint, now);
                    });
                    let response = forward_response(context, &head, body);
                    return response.map(|body| body.with_memory(memory));
                }
                Some(failure) => (failure, Some((head, body))),
            },
            Err(error) => {
                log::info!(
                    request = context.id(), endpoint:% = endpoint.id, error:% = error;
                    "call failed"
                );
                if error.is_connection_lost() {
                    CrashDetector::run_lost(&context.shared, &endpoint, &context.fingerprint);
                }
                (failure_from(&error), None)
            }
        };
        record_failure(context, call, failure, may_have_run_before);
        run.fail(failure);
        let endpoint_response = endpoint_response.map(|(head, body)| {
            forward_response(context, &head, body).map(|body| body.with_memory(memory))
        });
        if let Some(response) = handle_failure(context, failure, endpoint_response) {
            return response;
        }
    }
}

/// Chooses an endpoint that was not tried.
///
/// # Errors
///
/// Returns why there is none, and the time after which there may be one.
fn choose(context: &RequestContext, tried: &[Name]) -> Result<Endpoint, (&'static str, Duration)> {
    let shared = &context.shared;
    let registry = shared.registry.borrow();
    let usable = registry.usable().filter(|it| it.service == context.service);
    let usable: Vec<&Endpoint> = usable.collect();
    let limited = shared.limited(&usable);
    let unavailable = [tried, &limited].concat();
    let plain_pool = shared.plain_pool.borrow();
    let data_centre = &shared.options.data_centre;
    let now = shared.now();
    let chosen = plain_pool.choose(usable.iter().copied(), &unavailable, data_centre, now);
    let Some(chosen) = chosen else {
        if limited.is_empty() {
            return Err(("no_endpoint", RETRY_AFTER_DEFAULT));
        }
        let (reason, retry_after) = shared.limit_refusal(&limited);
        // Those that were tried and have no limit may take the request sooner.
        let are_all_limited = limited.len() == usable.len();
        let retry_after_max = if are_all_limited {
            retry_after
        } else {
            RETRY_AFTER_DEFAULT
        };
        return Err((reason, retry_after.min(retry_after_max)));
    };
    shared.record_placed(&chosen.id);
    Ok(chosen.clone())
}

/// Sends the request and reads the complete response, or the first bytes of a successful one on a
/// route of streams.
async fn attempt(
    context: &RequestContext,
    endpoint: &Endpoint,
    memory: &MemoryAccount,
) -> Result<Answer, ExchangeError> {
    let mut exchange = context.exchange(endpoint, None, Operation::Run).await?;
    let is_success = exchange.head.status.is_success()
        && classify_response(&exchange.head, &exchange.info).is_none();
    if is_success && context.delivery().is_stream() {
        let first_bytes = exchange.first_data().await?;
        return Ok(Answer::Stream(exchange, first_bytes));
    }
    let client = &context.shared.client;
    let memory = Some(memory);
    let (head, info, body) = exchange
        .read_to_end(client, RESPONSE_BYTES_MAX, memory)
        .await?;
    Ok(Answer::Complete(head, info, body))
}

/// Forwards a stream that has begun. `placed_at` is when its endpoint was chosen.
fn forward_stream(
    context: &RequestContext,
    exchange: Exchange,
    first_bytes: Option<Bytes>,
    endpoint: Endpoint,
    mut call: CallGuard,
    placed_at: Instant,
) -> Response<ResponseBody> {
    call.record_first_bytes();
    let run = StartedRun {
        exchange,
        first_bytes,
        endpoint,
        work: StreamWork::Call(call),
        times: StreamTimes {
            daemon: placed_at.since(context.received_at),
            ..StreamTimes::default()
        },
    };
    stream_forwarder::forward(context, run)
}

/// Returns how the attempt failed, or `None` if the response is forwarded.
fn classify_response(head: &response::Parts, info: &ResponseInfo) -> Option<Failure> {
    match info.disposition {
        Disposition::WrongEndpoint => Some(Failure::WrongEndpoint),
        Disposition::NotRun => Some(Failure::NotRun),
        Disposition::Accepted if head.status.is_server_error() => Some(Failure::Failed),
        Disposition::Accepted if head.status.is_success() && info.origin != Origin::Signed => {
            Some(Failure::Unknown)
        }
        Disposition::Accepted => None,
    }
}

pub(super) const fn failure_from(error: &ExchangeError) -> Failure {
    if error.is_not_sent() {
        Failure::NotSent
    } else {
        Failure::Unknown
    }
}

fn record_failure(
    context: &RequestContext,
    call: CallGuard,
    failure: Failure,
    may_have_run_before: bool,
) {
    match failure {
        Failure::NotSent => {
            context.record_not_sent(may_have_run_before);
            call.finish(CallOutcome::Unreachable);
        }
        Failure::NotRun => {
            context.record_not_run(may_have_run_before);
            call.finish(CallOutcome::Rejected);
        }
        Failure::WrongEndpoint => {
            context.record_not_run(may_have_run_before);
            call.finish(CallOutcome::Unreachable);
        }
        Failure::Unknown | Failure::Failed => call.finish(CallOutcome::Failed),
    }
}

/// Forwards an endpoint's complete response.
pub(super) fn forward_response(
    context: &RequestContext,
    head: &response::Parts,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = context
        .shared
        .options
        .dialect
        .response_headers(&head.headers);
    response
}
