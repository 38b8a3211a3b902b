use std::fmt::Debug;
use std::time::Duration;

use ragwortgrade_schema::engine::PlainLoad;

use super::Error;

/// One attempt of a call at an endpoint of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Identity of the attempt; the response must contain it.
    pub attempt: String,
    /// HTTP method.
    pub method: String,
    /// Path and query: empty, or starting with `/` or `?`.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Identity of the request, the same in all its attempts.
    pub request_key: String,
    /// Body, passed through unchanged.
    pub body: Vec<u8>,
    /// Time left for the whole call.
    pub timeout: Duration,
}

/// A complete response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body, passed through unchanged.
    pub body: Vec<u8>,
}

/// Client of plain services; `address` is an endpoint's `ip:port`.
pub trait PlainService: Debug + Send + Sync {
    /// Calls the service and waits for the complete response, whatever its HTTP status.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached or the connection breaks; [`Error::execution`]
    /// says whether the call may have run.
    fn call(&self, address: &str, call: &PlainCall) -> Result<PlainResponse, Error>;

    /// Reads the endpoint's load report.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached.
    fn load(&self, address: &str) -> Result<PlainLoad, Error>;
}
