use std::io;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::Error;

/// Header with the identity of an attempt, in requests and answers.
pub(super) const ATTEMPT_HEADER: &str = "X-Attempt-Id";

/// A control answer, such as the cache events of one poll.
const CONTROL_BYTES_MAX: u64 = 4 << 20;

/// Builds an agent that hands every status to the caller; `timeout` bounds the whole call.
pub(super) fn agent(connect: Duration, timeout: Option<Duration>) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(connect))
        .timeout_global(timeout)
        .http_status_as_error(false)
        .build()
        .into()
}

/// Checks that an answer bears the attempt's identity.
pub(super) fn check_attempt(answer: &Response<Body>, attempt: &str) -> Result<(), Error> {
    match answer.headers().get(ATTEMPT_HEADER) {
        Some(value) if value.as_bytes() == attempt.as_bytes() => Ok(()),
        _ => Err(Error::Crossed),
    }
}

/// Reads a short JSON answer whole.
pub(super) fn read_json<A: DeserializeOwned>(
    answer: Result<Response<Body>, ureq::Error>,
) -> Result<A, Error> {
    let mut answer = answer.map_err(|error| classify(&error))?;
    let status = answer.status().as_u16();
    if !answer.status().is_success() && status != 409 {
        return Err(Error::Refused { status });
    }
    let body = answer
        .body_mut()
        .with_config()
        .limit(CONTROL_BYTES_MAX)
        .read_to_string()
        .map_err(|error| Error::Broken {
            reason: error.to_string(),
        })?;
    serde_json::from_str(&body).map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

/// Tells calls that were never sent from those that may have run.
pub(super) fn classify(error: &ureq::Error) -> Error {
    let reason = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            Error::Unreachable { reason }
        }
        ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            Error::Unreachable { reason }
        }
        _ => Error::Broken { reason },
    }
}
