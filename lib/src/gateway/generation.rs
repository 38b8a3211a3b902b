use std::time::Duration;

use http::Response;
use ragwortgrade_policy::gateway::{
    CallOutcome, Endpoint, EngineLimits, Failure, Holding, Placement,
};
use ragwortgrade_schema::Name;

use super::crash_detector::CrashDetector;
use super::engine_choice::{decode_engine, place, refuse_placement};
use super::exchange::{Exchange, ExchangeError};
use super::failure::{handle_failure, refuse, refuse_quarantined};
use super::local_response::RETRY_AFTER_DEFAULT;
use super::plain::{self, failure_from, forward_response};
use super::prefill_guard::PrefillGuard;
use super::request_context::RequestContext;
use super::response_body::ResponseBody;
use super::stream_forwarder::{self, StartedRun};
use super::stream_times::StreamTimes;
use super::stream_work::StreamWork;
use super::work_guard::{SequenceGuard, millis};
use super::{Disposition, Operation, Origin};

/// Time of a remote prefill call beyond the prefill itself, in ms: the fixed part of an engine's
/// time to first token and a network round trip.
const PREFILL_CALL_OVERHEAD_MS: f64 = 65.0;

/// Maximum size of the result of a remote prefill and of an engine's error, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 << 10;
/// Timeout for the rest of an error response. The request can go on without it.
const ERROR_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// KV cache that an engine has prefilled for another one.
#[derive(Debug)]
struct RemoteCache {
    engine: Endpoint,
    handle: Name,
}

/// Response of an engine to one attempt.
enum Answer {
    /// Its head and its first bytes, if it has any.
    Begun(Exchange, Option<bytes::Bytes>),
    /// The complete successful response of a route without streams.
    Complete(Response<ResponseBody>),
}

/// Result of an attempt before anything is sent to the caller.
#[derive(Debug)]
enum Attempt {
    /// The stream has begun.
    Started(Box<StartedRun>),
    Complete(Response<ResponseBody>),
    /// How it failed, and the engine's own error response, if there is one.
    Failed(Failure, Option<Response<ResponseBody>>),
}

/// Handles a request to engines: placement, remote prefill, run and retries.
pub(super) async fn respond(
    context: &RequestContext,
    limits: &EngineLimits,
) -> Response<ResponseBody> {
    let mut excluded: Vec<Name> = Vec::new();
    loop {
        if let Some(response) = refuse_quarantined(context) {
            return response;
        }
        let mut placement = match place(context, limits, &excluded) {
            Ok(placement) => placement,
            Err(refusal) => return refuse_placement(context, refusal),
        };
        let placed_at = context.shared.now();
        let cache = match prefill_remotely(context, &placement).await {
            Ok(cache) => cache,
            Err(failure) => {
                excluded.extend(placement.prefill);
                if failure != Failure::NotSent {
                    context.record_failed_prefill();
                    if !context.consume_retry() {
                        return refuse(context, "prefill_failed", RETRY_AFTER_DEFAULT);
                    }
                }
                continue;
            }
        };
        let prefilled_at = context.shared.now();
        // The part may have been quarantined during the prefill.
        if let Some(response) = refuse_quarantined(context) {
            return response;
        }
        let prefill = cache.as_ref().map(|cache| &cache.engine);
        let engine = decode_engine(context, limits, &mut placement, prefill, &excluded);
        excluded.push(placement.decode.clone());
        let Some(engine) = engine else {
            continue;
        };
        let operation = cache.map_or(Operation::Run, |cache| Operation::RunWithCache {
            source: cache.engine.address,
            handle: cache.handle,
        });
        let (failure, endpoint_response) =
            match start_run(context, limits, &engine, &placement, operation).await {
                Attempt::Started(mut run) => {
                    let shared = &context.shared;
                    let took_ms = millis(shared.now().since(placed_at));
                    run.times = StreamTimes::new(
                        context.received_at,
                        placed_at,
                        prefilled_at,
                        shared.now(),
                        &placement,
                        call_overhead(context, &placement),
                    );
                    let mut engines = shared.engines.borrow_mut();
                    engines.observe_first_event(&placement, took_ms);
                    drop(engines);
                    shared
                        .duties
                        .count_run(context.tenant.as_ref(), shared.now());
                    return stream_forwarder::forward(context, *run);
                }
                Attempt::Complete(response) => {
                    let shared = &context.shared;
                    shared
                        .duties
                        .count_run(context.tenant.as_ref(), shared.now());
                    return response;
                }
                Attempt::Failed(failure, endpoint_response) => (failure, endpoint_response),
            };
        if let Some(response) = handle_failure(context, failure, endpoint_response) {
            return response;
        }
    }
}

/// Returns the fixed part of the call that prefills the prompt of a placement.
fn call_overhead(context: &RequestContext, placement: &Placement) -> Duration {
    match placement.prefill {
        Some(_) => Duration::from_secs_f64(PREFILL_CALL_OVERHEAD_MS / 1e3),
        None => context.shared.options.speed.first_event,
    }
}

fn find_endpoint(context: &RequestContext, id: &Name) -> Option<Endpoint> {
    context.shared.registry.borrow().get(id).cloned()
}

/// Runs the remote prefill, if the placement has one.
async fn prefill_remotely(
    context: &RequestContext,
    placement: &Placement,
) -> Result<Option<RemoteCache>, Failure> {
    let Some(id) = &placement.prefill else {
        return Ok(None);
    };
    let Some(engine) = find_endpoint(context, id) else {
        return Err(Failure::NotSent);
    };
    let prompt = &context.metadata.prompt;
    let prefill_guard = PrefillGuard::start(
        &context.shared,
        id,
        placement,
        PREFILL_CALL_OVERHEAD_MS,
        prompt,
    );
    let call = call_prefill(context, &engine, placement.priority);
    let result = tokio::time::timeout(placement.prefill_timeout(), call).await;
    let result = result.unwrap_or(Err(Failure::Unknown));
    match result {
        Ok(handle) => {
            let took_ms = prefill_guard.complete();
            log::debug!(
                request = context.id(), engine:% = id, took_ms, planned_ms = placement.prefill_ms;
                "remote prefill complete"
            );
            Ok(Some(RemoteCache { engine, handle }))
        }
        Err(failure) => {
            log::info!(
                request = context.id(), engine:% = id, reason:? = failure;
                "remote prefill failed"
            );
            prefill_guard.finish(call_outcome(failure));
            Err(failure)
        }
    }
}

async fn call_prefill(
    context: &RequestContext,
    engine: &Endpoint,
    priority: u8,
) -> Result<Name, Failure> {
    let to_failure = |error: ExchangeError| failure_from(&error);
    let exchange = context
        .exchange(engine, Some(priority), Operation::Prefill)
        .await
        .map_err(to_failure)?;
    let (head, info, body) = exchange
        .read_to_end(&context.shared.client, RESPONSE_BYTES_MAX, None)
        .await
        .map_err(to_failure)?;
    match info.disposition {
        Disposition::WrongEndpoint => return Err(Failure::WrongEndpoint),
        Disposition::NotRun => return Err(Failure::NotRun),
        Disposition::Accepted if !head.status.is_success() => return Err(Failure::Failed),
        Disposition::Accepted => {}
    }
    let dialect = &context.shared.options.dialect;
    dialect.parse_prefill_handle(&body).ok_or(Failure::Failed)
}

/// Sends the request to an engine and waits for the first bytes of the response, or for all of it on a
/// route without streams.
async fn start_run(
    context: &RequestContext,
    limits: &EngineLimits,
    engine: &Endpoint,
    placement: &Placement,
    operation: Operation,
) -> Attempt {
    let shared = &context.shared;
    let prompt = &context.metadata.prompt;
    let overhead_ms = millis(shared.options.speed.first_event);
    let is_local_prefill = operation == Operation::Run;
    let sequence = SequenceGuard::start(shared, &engine.id, prompt);
    let prefill_guard = is_local_prefill
        .then(|| PrefillGuard::start(shared, &engine.id, placement, overhead_ms, prompt));
    let may_have_run_before = context.may_have_run();
    context.record_sent();
    let result = attempt(context, engine, placement.priority, operation).await;
    let failure = match result {
        Ok(Answer::Complete(response)) => {
            shared.update_quarantine(|quarantine, now| {
                quarantine.record_begin(&context.fingerprint, now);
            });
            // The duration of a sequence is not used. That of the prefill is not known.
            sequence.finish(CallOutcome::Done { millis: 0.0 });
            return Attempt::Complete(response);
        }
        Ok(Answer::Begun(exchange, first)) => match classify_response(&exchange) {
            None => {
                let first_ms = prefill_guard.map(PrefillGuard::complete);
                log::debug!(
                    request = context.id(), engine:% = engine.id, first_ms:? = first_ms,
                    planned_ms = placement.prefill_ms;
                    "first event received"
                );
                let run = StartedRun {
                    exchange,
                    first_bytes: first,
                    endpoint: engine.clone(),
                    work: StreamWork::Generation {
                        sequence,
                        event_tokens: limits.event_tokens,
                        priority: placement.priority,
                    },
                    times: StreamTimes::default(),
                };
                return Attempt::Started(Box::new(run));
            }
            Some(failure) => {
                let endpoint_response = read_error_response(context, exchange, first).await;
                record_failure(context, failure, may_have_run_before);
                if let Some(prefill_guard) = prefill_guard {
                    prefill_guard.finish(call_outcome(failure));
                }
                sequence.finish(call_outcome(failure));
                return Attempt::Failed(failure, endpoint_response);
            }
        },
        Err(error) => {
            log::info!(
                request = context.id(), engine:% = engine.id, engine_started_ms = engine.started_ms,
                error:% = error, shared_parts = prompt.shared_ids();
                "run failed"
            );
            if error.is_connection_lost() {
                CrashDetector::run_lost(shared, engine, &context.fingerprint);
            }
            failure_from(&error)
        }
    };
    record_failure(context, failure, may_have_run_before);
    if let Some(prefill_guard) = prefill_guard {
        prefill_guard.finish(call_outcome(failure));
    }
    sequence.finish(call_outcome(failure));
    Attempt::Failed(failure, None)
}

/// Sends the request and waits for the first bytes of the body: a run that fails before them can
/// still be retried or answered with an error. On a route without streams, a successful response is
/// read to its end.
async fn attempt(
    context: &RequestContext,
    engine: &Endpoint,
    priority: u8,
    operation: Operation,
) -> Result<Answer, ExchangeError> {
    let mut exchange = context.exchange(engine, Some(priority), operation).await?;
    if context.delivery().is_stream() || classify_response(&exchange).is_some() {
        let first = exchange.first_data().await?;
        return Ok(Answer::Begun(exchange, first));
    }
    let memory = context.memory.open_other();
    memory.set_holding(Holding::Complete);
    let client = &context.shared.client;
    let (head, _, body) = exchange
        .read_to_end(client, plain::RESPONSE_BYTES_MAX, Some(&memory))
        .await?;
    let response = forward_response(context, &head, body);
    Ok(Answer::Complete(
        response.map(|body| body.with_memory(memory)),
    ))
}

/// Returns how the attempt failed, or `None` if the response is streamed to the caller.
fn classify_response(exchange: &Exchange) -> Option<Failure> {
    let info = &exchange.info;
    let is_success = exchange.head.status.is_success();
    match info.disposition {
        Disposition::WrongEndpoint => Some(Failure::WrongEndpoint),
        Disposition::NotRun => Some(Failure::NotRun),
        Disposition::Accepted if !is_success => Some(Failure::Failed),
        Disposition::Accepted if info.origin != Origin::Signed => Some(Failure::Unknown),
        Disposition::Accepted => None,
    }
}

/// Reads the rest of an engine's response to a failed attempt. The caller gets it only if the
/// engine's own error is the final response and arrives complete.
async fn read_error_response(
    context: &RequestContext,
    exchange: Exchange,
    first: Option<bytes::Bytes>,
) -> Option<Response<ResponseBody>> {
    let client = &context.shared.client;
    let rest = exchange.read_to_end(client, RESPONSE_BYTES_MAX, None);
    let rest = tokio::time::timeout(ERROR_RESPONSE_TIMEOUT, rest).await;
    let (head, _, rest) = rest.ok()?.ok()?;
    let mut body = first.unwrap_or_default().to_vec();
    body.extend_from_slice(&rest);
    Some(forward_response(context, &head, body.into()))
}

fn record_failure(context: &RequestContext, failure: Failure, may_have_run_before: bool) {
    match failure {
        Failure::NotSent => context.record_not_sent(may_have_run_before),
        Failure::NotRun | Failure::WrongEndpoint => context.record_not_run(may_have_run_before),
        Failure::Unknown | Failure::Failed => {}
    }
}

const fn call_outcome(failure: Failure) -> CallOutcome {
    match failure {
        Failure::NotSent | Failure::WrongEndpoint => CallOutcome::Unreachable,
        Failure::NotRun => CallOutcome::Rejected,
        Failure::Unknown | Failure::Failed => CallOutcome::Failed,
    }
}
