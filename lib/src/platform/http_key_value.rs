use std::io;
use std::time::Duration;

use ragwortgrade_schema::platform::{Entries, Entry, Lease, LeaseRequest, Write, Written};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::{Error, KeyValue};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The answer of a list contains many values of up to 1 MB each.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// HTTP client of the key-value service.
#[derive(Debug)]
pub struct HttpKeyValue {
    base: String,
    agent: Agent,
}

impl HttpKeyValue {
    /// Creates a client; `base` is the URL without `/kv`, `/cas` and the other paths.
    #[must_use]
    pub fn open(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent: agent(CALL_TIMEOUT),
        }
    }

    fn post<A: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<A, Error> {
        read_json(
            self.agent
                .post(format!("{}{path}", self.base))
                .send_json(body),
        )
    }
}

impl KeyValue for HttpKeyValue {
    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        match read_json(self.agent.get(format!("{}/kv/{key}", self.base)).call()) {
            Ok(entry) => Ok(Some(entry)),
            Err(Error::Refused { status: 404 }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&self, write: &Write) -> Result<u64, Error> {
        let written: Written = self.post("/cas", write)?;
        Ok(written.revision)
    }

    fn list(&self, prefix: &str, after: &str) -> Result<Entries, Error> {
        let request = self.agent.get(format!("{}/list", self.base));
        read_json(request.query("prefix", prefix).query("after", after).call())
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Entries, Error> {
        let request = self
            .agent
            .get(format!("{}/watch", self.base))
            .query("prefix", prefix)
            .query("after", after.to_string())
            .query("wait_ms", wait.as_millis().to_string())
            .config()
            .timeout_global(Some(wait + CALL_TIMEOUT))
            .build();
        read_json(request.call())
    }

    fn grant(&self, ttl: Duration) -> Result<u64, Error> {
        let lease: Lease = self.post(
            "/lease",
            &LeaseRequest {
                ttl_ms: ttl.as_millis() as u64,
            },
        )?;
        Ok(lease.lease)
    }

    fn keep_alive(&self, lease: u64) -> Result<(), Error> {
        let path = format!("/lease/{lease}/keepalive");
        match self.post::<serde_json::Value>(&path, &serde_json::Value::Null) {
            Ok(_) => Ok(()),
            Err(Error::Refused { status: 404 }) => Err(Error::LeaseEnded),
            Err(error) => Err(error),
        }
    }

    fn revoke(&self, lease: u64) -> Result<(), Error> {
        let answer = self
            .agent
            .delete(format!("{}/lease/{lease}", self.base))
            .call();
        match read_json::<serde_json::Value>(answer) {
            Ok(_) | Err(Error::Refused { status: 404 }) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// Builds an HTTP agent with a timeout that returns answers of every status without an error.
pub(super) fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        // The platform is called by IP address and must not redirect to another host.
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .build()
        .into()
}

/// Reads an answer of the platform. Errors distinguish calls that had no effect from lost answers.
pub(super) fn read_json<A: DeserializeOwned>(
    answer: Result<Response<Body>, ureq::Error>,
) -> Result<A, Error> {
    let mut answer = answer.map_err(|error| classify(&error))?;
    let status = answer.status().as_u16();
    let body = answer
        .body_mut()
        .with_config()
        .limit(ANSWER_BYTES_MAX)
        .read_to_string()
        .map_err(|error| Error::AnswerLost {
            reason: error.to_string(),
        })?;
    match status {
        200..=299 => serde_json::from_str(&body).map_err(|error| Error::Malformed {
            reason: error.to_string(),
        }),
        409 => {
            let written: Written =
                serde_json::from_str(&body).map_err(|error| Error::Malformed {
                    reason: error.to_string(),
                })?;
            Err(Error::Conflict {
                revision: written.revision,
            })
        }
        429 => Err(Error::RateLimited),
        status => Err(Error::Refused { status }),
    }
}

fn classify(error: &ureq::Error) -> Error {
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
        _ => Error::AnswerLost { reason },
    }
}
