//! Fair shares of tenants while requests are refused.

use std::time::Duration;

use http::{Response, StatusCode};

use super::failure::refuse;
use super::request_context::RequestContext;
use super::response_body::ResponseBody;

/// Retry time of a tenant that uses more than its share: recent requests count for several seconds.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses a request whose tenant uses more than its share while requests of others are refused.
pub(super) fn refuse_over_share(context: &RequestContext) -> Option<Response<ResponseBody>> {
    if !context.has_tenants {
        return None;
    }
    let shared = &context.shared;
    let (service, tenant) = (&context.service, context.tenant.as_ref());
    let mut fair_shares = shared.fair_shares.borrow_mut();
    if fair_shares.admit(service, tenant, shared.now()) {
        return None;
    }
    log::info!(
        request = context.id(), route:% = context.route.name, service:% = service,
        tenant = context.tenant.as_deref(), reason = "over_fair_share",
        retry_after_ms = RETRY_AFTER.as_millis() as u64;
        "request refused: its tenant uses more than its share"
    );
    shared.metrics.count("requests.over_fair_share", 1);
    context.record_no_capacity();
    Some(refuse(context, "over_fair_share", RETRY_AFTER))
}

/// Records the answer to a request for its tenant.
pub(super) fn record_answer(context: &RequestContext, status: StatusCode) {
    if !context.has_tenants {
        return;
    }
    let shared = &context.shared;
    let (service, tenant) = (&context.service, context.tenant.as_ref());
    if let Some(tenant) = tenant {
        let metrics = &shared.metrics;
        shared.tenants.record_answer(metrics, tenant, status);
    }
    let is_refused = status == StatusCode::SERVICE_UNAVAILABLE;
    // Other refusals, such as those of requests that crash endpoints, say nothing about the load.
    if is_refused && !context.lacked_capacity() {
        return;
    }
    let mut fair_shares = shared.fair_shares.borrow_mut();
    fair_shares.record(service, tenant, !is_refused, shared.now());
}
