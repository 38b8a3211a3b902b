use std::time::Duration;

use ragwortgrade_schema::engine::PlainLoad;
use ureq::Agent;
use ureq::http::Request;
use ureq::http::header::CONTENT_TYPE;

use super::http::{ATTEMPT_HEADER, agent, check_attempt, classify, read_json};
use super::{Error, PlainCall, PlainResponse, PlainService};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_BYTES_MAX: u64 = 16 << 20;

/// Status reported for a call that cannot be encoded as HTTP; the endpoint is not at fault.
const MALFORMED_STATUS: u16 = 400;

/// HTTP client of plain services.
#[derive(Debug)]
pub struct HttpPlainService {
    calls: Agent,
    control: Agent,
}

impl HttpPlainService {
    /// Creates a client for any number of endpoints.
    #[must_use]
    pub fn open() -> Self {
        Self {
            calls: agent(CONNECT_TIMEOUT, None),
            control: agent(CONNECT_TIMEOUT, Some(LOAD_TIMEOUT)),
        }
    }
}

impl PlainService for HttpPlainService {
    fn call(&self, address: &str, call: &PlainCall) -> Result<PlainResponse, Error> {
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{address}{}", call.path))
            .header(ATTEMPT_HEADER, &call.attempt)
            .header("X-Request-Key", &call.request_key);
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        let request = request
            .body(call.body.clone())
            .map_err(|_malformed| Error::Refused {
                status: MALFORMED_STATUS,
            })?;
        let request = self
            .calls
            .configure_request(request)
            .timeout_global(Some(call.timeout))
            .allow_non_standard_methods(true)
            .build();
        let mut response = self.calls.run(request).map_err(|error| classify(&error))?;
        check_attempt(&response, &call.attempt)?;
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(ToOwned::to_owned);
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(RESPONSE_BYTES_MAX)
            .read_to_vec()
            .map_err(|error| classify(&error))?;
        Ok(PlainResponse {
            status,
            content_type,
            body,
        })
    }

    fn load(&self, address: &str) -> Result<PlainLoad, Error> {
        read_json(self.control.get(format!("http://{address}/load")).call())
    }
}
