//! Choice of the engines of a generation, with its log lines.

use std::time::Duration;

use http::Response;
use ragwortgrade_policy::gateway::{
    Endpoint, EngineLimits, Estimate, Placement, Refusal, Registry, Stage,
};
use ragwortgrade_schema::Name;

use super::failure::refuse;
use super::request_context::RequestContext;
use super::response_body::ResponseBody;
use super::scaling_task;

/// Chooses where a generation runs. Engines in `excluded` are not considered.
pub(super) fn place(
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
        scaling_task::record_arrival(context, &result);
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
pub(super) fn decode_engine(
    context: &RequestContext,
    limits: &EngineLimits,
    placement: &mut Placement,
    prefill: Option<&Endpoint>,
    excluded: &[Name],
) -> Option<Endpoint> {
    let shared = &context.shared;
    let registry = shared.registry.borrow();
    let accepts_requests = shared.accepts_requests(&placement.decode);
    let Some(prefill) = prefill else {
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
        prefill,
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

pub(super) fn refuse_placement(
    context: &RequestContext,
    refusal: Refusal,
) -> Response<ResponseBody> {
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
        retry_after_ms = refusal.retry_after.as_millis() as u64,
        tenant = context.tenant.as_deref();
        "generation refused"
    );
    context.shared.metrics.count("generations.refused", 1);
    if refusal.lacks_capacity() {
        context.record_no_capacity();
    }
    refuse(context, refusal.reason, refusal.retry_after)
}

/// Returns the number of usable engines of the service.
fn count_candidates(context: &RequestContext) -> usize {
    let registry = context.shared.registry.borrow();
    let usable = registry.usable();
    usable.filter(|it| it.service == context.service).count()
}
