use std::io;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::config::ConfigBuilder;
use ureq::http::Response;
use ureq::typestate::AgentScope;
use ureq::{Agent, Body};

use super::Error;

/// Buffer of one connection in each direction. Tokens are short, and the library's default of
/// 128 KiB would be allocated for every open stream.
const BUFFER_BYTES: usize = 16 << 10;
/// Header with the identity of an attempt, in requests and responses.
pub(super) const ATTEMPT_HEADER: &str = "X-Attempt-Id";

/// Connections kept open between calls; opening one to another data centre costs a network round
/// trip.
const IDLE_CONNECTIONS: usize = 256;
const IDLE_CONNECTIONS_PER_ENDPOINT: usize = 16;

/// Longest response to a control call, such as the cache events of one poll.
const CONTROL_BYTES_MAX: u64 = 4 << 20;

/// Returns the base configuration of an agent, for which no HTTP status is an error.
///
/// Redirects are off, as they would run a call a second time at an undeclared address. Proxies from
/// environment variables are off, as they would see every request.
pub(super) fn agent_config(connect_timeout: Duration) -> ConfigBuilder<AgentScope> {
    Agent::config_builder()
        .timeout_connect(Some(connect_timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(IDLE_CONNECTIONS)
        .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_ENDPOINT)
}

/// Builds an agent; `timeout`, if any, covers each whole call.
pub(super) fn agent(connect_timeout: Duration, timeout: Option<Duration>) -> Agent {
    agent_config(connect_timeout)
        .timeout_global(timeout)
        .build()
        .into()
}

/// Checks that a response contains the identity of the attempt.
pub(super) fn check_attempt(response: &Response<Body>, attempt: &str) -> Result<(), Error> {
    match response.headers().get(ATTEMPT_HEADER) {
        Some(value) if value.as_bytes() == attempt.as_bytes() => Ok(()),
        _ => Err(Error::AttemptMismatch),
    }
}

/// Reads a complete JSON response of limited length. Status 409 is accepted, too: an engine rejects
/// an order with it and gives the reason in the body.
pub(super) fn read_json<A: DeserializeOwned>(
    response: Result<Response<Body>, ureq::Error>,
) -> Result<A, Error> {
    let mut response = response.map_err(|error| classify(&error))?;
    let status = response.status().as_u16();
    if !response.status().is_success() && status != 409 {
        return Err(Error::Refused { status });
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(CONTROL_BYTES_MAX)
        .read_to_string()
        .map_err(|error| classify(&error))?;
    serde_json::from_str(&body).map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

/// Converts an error of a call, so that calls that were never sent are distinguished from those
/// that may have run.
pub(super) fn classify(error: &ureq::Error) -> Error {
    let reason = error.to_string();
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => Error::Unreachable { reason },
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => Error::TimedOut {
            reason,
            sent: false,
        },
        ureq::Error::Timeout(_) => Error::TimedOut { reason, sent: true },
        ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            Error::Unreachable { reason }
        }
        ureq::Error::Io(cause) => classify_io(cause),
        _ => Error::Broken { reason },
    }
}

/// Converts an error of a connection; distinguishes a timeout from a connection that broke.
pub(super) fn classify_io(error: &io::Error) -> Error {
    let reason = error.to_string();
    let inner = error
        .get_ref()
        .and_then(|inner| inner.downcast_ref::<ureq::Error>());
    let is_timeout = matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    ) || matches!(inner, Some(ureq::Error::Timeout(_)));
    if is_timeout {
        return Error::TimedOut { reason, sent: true };
    }
    Error::Broken { reason }
}
