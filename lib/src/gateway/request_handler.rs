use std::rc::Rc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::Fingerprint;

use super::authorization::{self, AuthorizedRequest};
use super::caller_connection::CallerConnection;
use super::local_response::{self, RETRY_AFTER_DEFAULT};
use super::request_body::RequestBody;
use super::request_context::{Progress, RequestContext};
use super::response_body::ResponseBody;
use super::shared::Shared;
use super::work_guard::millis;
use super::{fairness, generation, plain};

/// Longest time for which a request waits until this daemon, which has just started, has read the
/// configuration and the registrations; normally that takes 0.2 s.
const LOADING_WAIT_MAX: Duration = Duration::from_secs(1);
/// Retry delay of a request that a draining daemon refuses. It is short, since the load balancer
/// sends the retry to another daemon.
const RETRY_AFTER_DRAINING: Duration = Duration::from_millis(20);

/// Handles one request of a caller.
pub(super) async fn handle(
    shared: Rc<Shared>,
    caller: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let received_at = shared.now();
    let (head, body) = request.into_parts();
    // A proxy in front of this daemon may have determined another length for a chunked body.
    // Closing the connection keeps bytes after it from being parsed as a request (request
    // smuggling).
    let closes_connection = head.headers.contains_key(TRANSFER_ENCODING);
    let mut response = respond(&shared, &caller, head, body, received_at).await;
    if closes_connection || shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn respond(
    shared: &Rc<Shared>,
    caller: &Rc<CallerConnection>,
    mut head: Parts,
    body: Incoming,
    received_at: Instant,
) -> Response<ResponseBody> {
    shared.metrics.count("requests", 1);
    if !shared.is_loaded() {
        let _is_late = tokio::time::timeout(LOADING_WAIT_MAX, shared.wait_until_loaded()).await;
    }
    let Some(catalog) = shared.catalog() else {
        return local_response::not_run("not_configured", RETRY_AFTER_DEFAULT);
    };
    let request = match authorization::check(shared, &catalog, &mut head) {
        Ok(request) => request,
        Err(response) => {
            let bytes_max = catalog.limits().body_bytes;
            authorization::discard(&head, body, bytes_max, caller.start_request());
            return *response;
        }
    };
    let bytes_max = catalog.limits().body_bytes;
    let body = match RequestBody::read(shared, caller, &head, body, bytes_max).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let context = match build_context(shared, request, head, body, received_at) {
        Ok(context) => context,
        Err(response) => return *response,
    };
    if shared.could_outlast_drain(context.delivery().is_stream(), context.time_limit) {
        log::info!(
            request = context.id(), route:% = context.route.name;
            "request refused: daemon is draining"
        );
        return local_response::not_run("stopping", RETRY_AFTER_DRAINING);
    }
    let now = shared.now();
    shared
        .retry_budgets
        .borrow_mut()
        .record_request(&context.service, now);
    let engine = catalog
        .service(&context.service)
        .and_then(|service| service.engine);
    let work = async {
        if let Some(response) = fairness::refuse_over_share(&context) {
            return response;
        }
        match &engine {
            Some(limits) => generation::respond(&context, limits).await,
            None => plain::respond(&context).await,
        }
    };
    let response = match tokio::time::timeout(context.time_left(), work).await {
        Ok(response) => response,
        Err(_elapsed) => timeout_response(&context),
    };
    log::info!(
        request = context.id(), route:% = context.route.name, status = response.status().as_u16(),
        tenant = context.tenant.as_deref(), elapsed_ms = millis(context.elapsed()) as u64, version = catalog.version();
        "request answered"
    );
    shared
        .metrics
        .count(&format!("answers.{}", response.status().as_u16()), 1);
    fairness::record_answer(&context, response.status());
    response
}

fn build_context(
    shared: &Rc<Shared>,
    request: AuthorizedRequest,
    head: Parts,
    body: RequestBody,
    received_at: Instant,
) -> Result<RequestContext, Box<Response<ResponseBody>>> {
    let AuthorizedRequest {
        metadata,
        route,
        tenant,
        has_tenants,
    } = request;
    let id = metadata.id.as_deref().unwrap_or_default();
    let Some(service) = route.service_for(id).cloned() else {
        let response = local_response::not_run("route_without_service", RETRY_AFTER_DEFAULT);
        return Err(Box::new(response));
    };
    let deadline = metadata.deadline.unwrap_or(Duration::MAX);
    let time_limit = deadline.min(route.time_limit);
    let path_and_query = head.uri.path_and_query();
    let path_and_query = path_and_query.map_or_else(|| head.uri.path(), |it| it.as_str());
    let fields = [
        metadata.host.as_bytes(),
        head.method.as_str().as_bytes(),
        path_and_query.as_bytes(),
        &body.bytes,
    ];
    let fingerprint = Fingerprint::new(&metadata.prompt.parts, &fields);
    Ok(RequestContext {
        shared: Rc::clone(shared),
        metadata,
        head,
        body: body.bytes,
        memory: body.memory,
        fingerprint,
        route,
        service,
        tenant,
        has_tenants,
        received_at,
        time_limit,
        progress: Progress::default(),
    })
}

fn timeout_response(context: &RequestContext) -> Response<ResponseBody> {
    context.shared.metrics.count("requests.timed_out", 1);
    if context.may_have_run() {
        return local_response::with_reason(StatusCode::GATEWAY_TIMEOUT, "time_limit");
    }
    local_response::not_run("time_limit", RETRY_AFTER_DEFAULT)
}
