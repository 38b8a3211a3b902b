use std::time::Duration;

use http::Response;
use ragwortgrade_policy::gateway::{
    CallOutcome, Endpoint, EngineLimits, Estimate, Failure, Placement, Refusal, Registry, Stage,
};
use ragwortgrade_schema::Name;

use super::crash_detector::CrashDetector;
use super::exchange::{Exchange, ExchangeError};
use super::failure::{handle_failure, refuse, refuse_quarantined};
use super::local_response::RETRY_AFTER_DEFAULT;
use super::plain::{failure_from, forward_response};
use super::request_context::RequestContext;
use super::response_body::ResponseBody;
use super::stream_forwarder::{self, StartedRun};
use super::work_guard::{PrefillGuard, SequenceGuard, millis};
use super::{Disposition, Operation};

/// Time of a remote prefill call beyond the prefill itself, in ms: the fixed part of an engine's
/// time to first token and a network round trip.
const PREFILL_CALL_OVERHEAD_MS: f64 = 65.0;

/// Maximum size of an engine's response that is not a stream, in bytes: the result of a remote
/// prefill or an error.
const RESPONSE_BYTES_MAX: usize = 64 << 10;
/// Timeout for the rest of an error response. The request can go on without it.
const ERROR_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// KV cache that an engine has prefilled for another one.
#[derive(Debug)]
struct RemoteCache {
    engine: Endpoint,
    handle: Name,
}

/// Result of an attempt before anything is sent to the caller.
#[derive(Debug)]
enum Attempt {
    Started(Box<StartedRun>),
    /// How it failed, and the engine's own error response, if there is one.
    Failed(Failure, Option<Response<ResponseBody>>),
}

/// Handles a generation request: placement, remote prefill, run and retries.
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
        // The part may have been quarantined during the prefill.
        if let Some(response) = refuse_quarantined(context) {
            return response;
        }
        let engine = decode_engine(context, limits, &mut placement, cache.as_ref(), &excluded);
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
                Attempt::Started(run) => {
                    let shared = &context.shared;
                    let took_ms = millis(shared.now().since(placed_at));
                    let mut engines = shared.engines.borrow_mut();
                    engines.observe_first_event(&placement, took_ms);
                    drop(engines);
                    return stream_forwarder::forward(context, *run);
                }
                Attempt::Failed(failure, endpoint_response) => (failure, endpoint_response),
            };
        if let Some(response) = handle_failure(context, failure, endpoint_response) {
            return response;
        }
    }
}

fn place(
    context: &RequestContext,
    limits: &EngineLimits,
    excluded: &[Name],
) -> Result<Placement, Refusal> {
    let shared = &context.shared;
    let registry = shared.registry.borrow();
    let candidates = candidates(context, &registry);
    let limited = shared.limited(&candidates);
    let unavailable = [excluded, &limited].concat();
    let prompt = &context.metadata.prompt;
    let route = &context.route.name;
    let wait_limit = shared.size_shares.borrow().wait_limit(route, prompt.tokens);
    let result = shared.engines.borrow().place(
        &candidates,
        prompt,
        &context.route,
        limits,
        context.time_left(),
        wait_limit,
        &unavailable,
        &shared.options.data_centre,
        shared.now(),
    );
    // A retry is part of the request that was admitted.
    if excluded.is_empty() {
        let mut size_shares = shared.size_shares.borrow_mut();
        size_shares.record(route, prompt.tokens, result.is_ok());
    }
    let placement = result.map_err(|refusal| {
        if limited.is_empty() || refusal.reason != "no_engine" {
            return refusal;
        }
        let (reason, retry_after) = shared.limit_refusal(&limited);
        Refusal {
            reason,
            retry_after,
            ..refusal
        }
    })?;
    for engine in placement.prefill.iter().chain([&placement.decode]) {
        shared.record_placed(engine);
    }
    log::info!(
        request = context.id(), route:% = context.route.name, engine:% = placement.decode,
        prefill = placement.prefill.as_deref().unwrap_or("in_place"),
        prompt_tokens = context.metadata.prompt.tokens, cached_tokens = placement.cached_tokens,
        expected_ms = placement.expected.as_millis() as u64,
        queue_ms = placement.queue.as_millis() as u64, priority = placement.priority,
        wait_limit:? = wait_limit, limited_engines = limited.len(),
        shared_parts = context.metadata.prompt.shared_ids(),
        left_ms = context.time_left().as_millis() as u64;
        "generation placed"
    );
    Ok(placement)
}

/// Returns the engines to which the request may be sent.
fn candidates<'a>(context: &RequestContext, registry: &'a Registry) -> Vec<&'a Endpoint> {
    registry
        .usable()
        .filter(|it| it.service == context.service)
        .filter(|it| it.stage != Some(Stage::Prefill) || context.may_prefill_remotely())
        .collect()
}

/// Returns the decode engine of a placement. After a remote prefill it is selected again, as any
/// engine can fetch the KV cache, and the placement is changed to it. Returns `None` if there is none, or
/// if the request has to be placed again.
fn decode_engine(
    context: &RequestContext,
    limits: &EngineLimits,
    placement: &mut Placement,
    cache: Option<&RemoteCache>,
    excluded: &[Name],
) -> Option<Endpoint> {
    let shared = &context.shared;
    let registry = shared.registry.borrow();
    let accepts_requests = shared.accepts_requests(&placement.decode);
    let Some(cache) = cache else {
        return registry
            .get(&placement.decode)
            .filter(|_| accepts_requests)
            .cloned();
    };
    let candidates = candidates(context, &registry);
    let mut unavailable = [excluded, &shared.limited(&candidates)].concat();
    if accepts_requests {
        // The limit of the placed engine already counts this request.
        unavailable.retain(|id| *id != placement.decode);
    }
    let decoder = shared.engines.borrow().decoder_after_prefill(
        placement,
        &cache.engine,
        &candidates,
        &context.metadata.prompt,
        &context.route,
        limits,
        &unavailable,
        &shared.options.data_centre,
        shared.now(),
    )?;
    if decoder != placement.decode {
        log::info!(
            request = context.id(), engine:% = decoder, before:% = placement.decode,
            accepts_requests = accepts_requests;
            "decode engine chosen anew after the remote prefill"
        );
        shared.record_placed(&decoder);
        placement.decode = decoder;
    }
    registry.get(&placement.decode).cloned()
}

fn refuse_placement(context: &RequestContext, refusal: Refusal) -> Response<ResponseBody> {
    let estimate = refusal.estimate.as_ref();
    let estimate_ms = |time: fn(&Estimate) -> Duration| estimate.map(|it| time(it).as_millis());
    log::info!(
        request = context.id(), route:% = context.route.name, reason = refusal.reason,
        expected_ms:? = estimate_ms(|it| it.expected),
        queue_ms:? = estimate_ms(|it| it.queue),
        prefill_ms:? = estimate.map(|it| it.prefill_ms as u64),
        limit = estimate.map(|it| it.limit), limit_ms:? = estimate_ms(|it| it.limit_time),
        late_wait = estimate.map(|it| it.late_wait),
        target_ms = context.route.target.as_millis() as u64,
        prompt_tokens = context.metadata.prompt.tokens, engines = count_candidates(context),
        retry_after_ms = refusal.retry_after.as_millis() as u64;
        "generation refused"
    );
    context.shared.metrics.count("generations.refused", 1);
    refuse(context, refusal.reason, refusal.retry_after)
}

/// Returns the number of usable engines of the service.
fn count_candidates(context: &RequestContext) -> usize {
    let registry = context.shared.registry.borrow();
    let usable = registry.usable();
    usable.filter(|it| it.service == context.service).count()
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
        placement.priority,
        placement.prefill_ms,
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

/// Sends the request to an engine and waits for the first bytes of the response.
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
    let prefill_guard = is_local_prefill.then(|| {
        PrefillGuard::start(
            shared,
            &engine.id,
            placement.priority,
            placement.prefill_ms,
            overhead_ms,
            prompt,
        )
    });
    let may_have_run_before = context.may_have_run();
    context.record_sent();
    let result = first_bytes(context, engine, placement.priority, operation).await;
    let failure = match result {
        Ok((exchange, first)) => match classify_response(&exchange) {
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
                    sequence,
                    engine: engine.clone(),
                    event_tokens: limits.event_tokens,
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
/// still be retried or answered with an error.
async fn first_bytes(
    context: &RequestContext,
    engine: &Endpoint,
    priority: u8,
    operation: Operation,
) -> Result<(Exchange, Option<bytes::Bytes>), ExchangeError> {
    let mut exchange = context.exchange(engine, Some(priority), operation).await?;
    let first = exchange.first_data().await?;
    Ok((exchange, first))
}

/// Returns how the attempt failed, or `None` if the response is streamed to the caller.
fn classify_response(exchange: &Exchange) -> Option<Failure> {
    let info = &exchange.info;
    let is_success = exchange.head.status.is_success();
    match info.disposition {
        Disposition::WrongEndpoint => Some(Failure::WrongEndpoint),
        Disposition::NotRun => Some(Failure::NotRun),
        Disposition::Accepted if !is_success => Some(Failure::Failed),
        Disposition::Accepted if !info.is_signed => Some(Failure::Unknown),
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
