use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::Catalog;

use super::answer::Answer;
use super::request::{Inquiry, Progress};
use super::running::millis;
use super::shared::Shared;
use super::status::{self, RETRY_AFTER_DEFAULT};
use super::{generation, plain};

/// Longest time to read a body; the operators' limits bound the head only.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a caller that is refused by a stopping daemon reaches another one.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

/// Answers one request of a caller.
pub(super) async fn handle(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Answer> {
    let begun = shared.now();
    let (head, body) = request.into_parts();
    // The length of a chunked body is not known to be what a header in front of this daemon says,
    // so what follows it on the connection is never read as a request.
    let closes = head.headers.contains_key(TRANSFER_ENCODING);
    let mut response = answer(&shared, head, body, begun).await;
    if closes || shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn answer(
    shared: &Rc<Shared>,
    head: Parts,
    body: Incoming,
    begun: Instant,
) -> Response<Answer> {
    shared.metrics.count("requests", 1);
    let Some(catalog) = shared.catalog() else {
        return status::not_run("not_configured", RETRY_AFTER_DEFAULT);
    };
    let body = match read_body(body, catalog.limits().body_bytes).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let inquiry = match inquire(shared, &catalog, head, body, begun) {
        Ok(inquiry) => inquiry,
        Err(response) => return *response,
    };
    if inquiry.repeat().is_stream() && shared.takes_no_streams() {
        log::info!(request = inquiry.id(); "refused, as this daemon stops");
        return status::not_run("stopping", RETRY_ELSEWHERE);
    }
    let now = shared.now();
    shared.budgets.borrow_mut().request(&inquiry.service, now);
    let engine = catalog
        .service(&inquiry.service)
        .and_then(|service| service.engine);
    let work = async {
        match &engine {
            Some(limits) => generation::answer(&inquiry, limits).await,
            None => plain::answer(&inquiry).await,
        }
    };
    let response = match tokio::time::timeout(inquiry.left(), work).await {
        Ok(response) => response,
        Err(_elapsed) => timed_out(&inquiry),
    };
    log::info!(
        request = inquiry.id(), route:% = inquiry.route.name, status = response.status().as_u16(),
        elapsed_ms = millis(inquiry.elapsed()) as u64, version = catalog.version();
        "answered"
    );
    shared
        .metrics
        .count(&format!("answers.{}", response.status().as_u16()), 1);
    response
}

/// Reads the whole body, which is needed to send the request to a second endpoint.
async fn read_body(body: Incoming, bytes_max: usize) -> Result<Bytes, Response<Answer>> {
    let limited = Limited::new(body, bytes_max).collect();
    match tokio::time::timeout(BODY_TIMEOUT, limited).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(status::own(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long"))
        }
        Ok(Err(error)) => {
            log::info!(error:% = error; "body of a request broke off");
            Err(status::own(StatusCode::BAD_REQUEST, "body_broke_off"))
        }
        Err(_elapsed) => Err(status::own(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}

fn inquire(
    shared: &Rc<Shared>,
    catalog: &Catalog,
    head: Parts,
    body: Bytes,
    begun: Instant,
) -> Result<Inquiry, Box<Response<Answer>>> {
    let arrival = shared.options.dialect.arrival(&head);
    let Some(route) = catalog.route(&arrival.host, &arrival.path) else {
        log::info!(
            request = arrival.id.as_deref().unwrap_or("-"), host:% = arrival.host,
            path:% = arrival.path, version = catalog.version();
            "no route"
        );
        shared.metrics.count("requests.no_route", 1);
        return Err(Box::new(status::own(StatusCode::NOT_FOUND, "no_route")));
    };
    let id = arrival.id.as_deref().unwrap_or_default();
    let Some(service) = route.service_for(id).cloned() else {
        let response = status::not_run("route_without_service", RETRY_AFTER_DEFAULT);
        return Err(Box::new(response));
    };
    let deadline = arrival.deadline.unwrap_or(Duration::MAX);
    let time_limit = deadline.min(route.time_limit);
    let route = route.clone();
    Ok(Inquiry {
        shared: Rc::clone(shared),
        arrival,
        head,
        body,
        route,
        service,
        begun,
        time_limit,
        progress: Progress::default(),
    })
}

fn timed_out(inquiry: &Inquiry) -> Response<Answer> {
    inquiry.shared.metrics.count("requests.timed_out", 1);
    if inquiry.may_have_run() {
        return status::own(StatusCode::GATEWAY_TIMEOUT, "time_limit");
    }
    status::not_run("time_limit", RETRY_AFTER_DEFAULT)
}
