//! Checks of a request's head, before its body is read.

use std::time::Duration;

use http::header::{EXPECT, HeaderValue, WWW_AUTHENTICATE};
use http::request::Parts;
use http::{Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use ragwortgrade_policy::gateway::{Authorization, Catalog, RequestMetadata, Route, authorize};
use ragwortgrade_schema::Name;

use super::caller_connection::RequestGuard;
use super::local_response;
use super::response_body::ResponseBody;
use super::shared::Shared;

/// Time for which the body of a refused request is discarded. A body of 4 MB takes 3.3 s on a link
/// of 10 Mbit/s.
const DISCARD_TIME_MAX: Duration = Duration::from_secs(5);

/// A request that matches a route and carries a key that it may carry.
#[derive(Debug)]
pub(super) struct AuthorizedRequest {
    pub(super) metadata: RequestMetadata,
    /// The route, with the rank of the tenant if it has one.
    pub(super) route: Route,
    /// Tenant whose key the request carries.
    pub(super) tenant: Option<Name>,
    /// Whether the configuration has tenants, so that callers' headers for them are withheld from
    /// endpoints.
    pub(super) has_tenants: bool,
}

/// Finds the route and the tenant of a request.
///
/// # Errors
///
/// Returns the response to a request without a route, or without a key that its route requires.
pub(super) fn check(
    shared: &Shared,
    catalog: &Catalog,
    head: &mut Parts,
) -> Result<AuthorizedRequest, Box<Response<ResponseBody>>> {
    let dialect = &shared.options.dialect;
    dialect.mark_secrets(&mut head.headers);
    let metadata = dialect.parse_request(head);
    let Some(route) = catalog.route(&metadata.host, &metadata.path) else {
        log::info!(
            request = metadata.id.as_deref().unwrap_or("-"), host:% = metadata.host,
            path:% = metadata.path, version = catalog.version();
            "no matching route"
        );
        shared.metrics.count("requests.no_route", 1);
        return Err(Box::new(local_response::with_reason(
            StatusCode::NOT_FOUND,
            "no_route",
        )));
    };
    let mut route = route.clone();
    let (tenant, has_tenants) = match authorize(
        catalog,
        &shared.configuration.key_news(),
        &route,
        metadata.api_key.as_ref(),
    ) {
        Authorization::NoTenants => (None, false),
        Authorization::Public => (None, true),
        Authorization::Known { tenant, rank } => {
            route.rank = rank.unwrap_or(route.rank);
            (Some(tenant), true)
        }
        Authorization::Missing => return Err(refuse(shared, &route, "missing_key", None)),
        Authorization::Unknown { former_tenant } => {
            return Err(refuse(
                shared,
                &route,
                "unknown_key",
                former_tenant.as_ref(),
            ));
        }
    };
    Ok(AuthorizedRequest {
        metadata,
        route,
        tenant,
        has_tenants,
    })
}

fn refuse(
    shared: &Shared,
    route: &Route,
    reason: &'static str,
    former_tenant: Option<&Name>,
) -> Box<Response<ResponseBody>> {
    shared.metrics.count("answers.401", 1);
    let tenants = &shared.tenants;
    tenants.record_unauthorized(&shared.metrics, reason, former_tenant, route, shared.now());
    let mut response = local_response::with_reason(StatusCode::UNAUTHORIZED, reason);
    let challenge = HeaderValue::from_static("ApiKey");
    response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
    Box::new(response)
}

/// Discards the body of a request that is refused before it is read, so that the response reaches a
/// caller that still sends: closing the connection would discard the response. After the end of the
/// body the connection is used again.
pub(super) fn discard(head: &Parts, body: Incoming, bytes_max: usize, guard: RequestGuard) {
    // With `Expect`, the caller sends the body only after an interim response, which it does not
    // get.
    if body.is_end_stream() || head.headers.contains_key(EXPECT) {
        return;
    }
    tokio::task::spawn_local(async move {
        let _is_late = tokio::time::timeout(DISCARD_TIME_MAX, read_past(body, bytes_max)).await;
        drop(guard);
    });
}

async fn read_past(mut body: Incoming, bytes_max: usize) {
    let mut bytes_left = bytes_max;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, bytes::Bytes::len);
        let Some(left) = bytes_left.checked_sub(length) else {
            return;
        };
        bytes_left = left;
    }
}
