use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};

use super::response_body::ResponseBody;

/// Retry delay when it is not known when capacity will be free.
pub(super) const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(300);

/// Returns a response of the gateway itself, with `reason` as the error in its body.
pub(super) fn with_reason(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    let body = format!("{{\"error\":\"{reason}\"}}");
    let mut response = Response::new(ResponseBody::full(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a refusal, which guarantees that the request has not run and never will.
pub(super) fn not_run(reason: &str, retry_after: Duration) -> Response<ResponseBody> {
    let mut response = with_reason(StatusCode::SERVICE_UNAVAILABLE, reason);
    // Rounded up: a caller that returns earlier than the time may be refused again.
    let millis = retry_after.as_micros().div_ceil(1_000);
    let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
