use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, Method};
use ragwortgrade_policy::gateway::{Endpoint, RequestMetadata};
use ragwortgrade_schema::Name;

/// Translation between the HTTP messages of a deployment and the types of the gateway.
pub trait Dialect: std::fmt::Debug {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &RequestParts) -> RequestMetadata;

    /// Marks the values of a caller's headers that debug output must not show.
    fn mark_secrets(&self, headers: &mut HeaderMap);

    /// Returns the headers of the request to an endpoint, derived from those of the caller's
    /// request.
    fn request_headers(&self, head: &RequestParts, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, head: &ResponseParts) -> ResponseInfo;

    /// Returns the headers of an endpoint's response that are forwarded to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses the KV cache handle from the response body of a remote prefill.
    fn parse_prefill_handle(&self, body: &[u8]) -> Option<Name>;

    /// Returns the method and path of the request that frees the KV cache of a remote prefill.
    fn release_request(&self, handle: &str) -> (Method, String);
}

/// Parameters that the gateway adds to the caller's request when it sends it to an endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Target endpoint; another endpoint that listens at its address must reject the request.
    pub endpoint: &'a Endpoint,
    /// Time left until the earlier of the caller's deadline and the route's time limit; `None` if
    /// the caller set no deadline.
    pub time_left: Option<Duration>,
    /// Priority at an engine, of which 0 is the most urgent; `None` for a plain service.
    pub priority: Option<u8>,
    /// Tenant whose key the request carries.
    pub tenant: Option<&'a Name>,
    /// Whether the caller's headers for the key and the tenant are withheld from the endpoint.
    pub hides_tenant_headers: bool,
    /// What the endpoint does with the request.
    pub operation: Operation,
}

/// Operation requested from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Run the complete request.
    Run,
    /// Prefill the prompt for another engine.
    Prefill,
    /// Run the request with a KV cache that another engine has prefilled.
    RunWithCache {
        /// Address of the engine that holds the KV cache.
        source: SocketAddr,
        /// Handle of the KV cache on that engine.
        handle: Name,
    },
    /// Resume a stream after an event.
    Resume {
        /// Last event that the caller received.
        last_event: u64,
    },
}

/// What a response shows of its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// Nothing: the bytes need not be a response.
    #[default]
    Unknown,
    /// A rejection, or the name of an endpoint.
    Endpoint,
    /// The signature of an endpoint.
    Signed,
}

/// Whether an endpoint accepted a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disposition {
    /// The response does not state that the request was not run.
    #[default]
    Accepted,
    /// The endpoint states that it did not run the request.
    NotRun,
    /// Another endpoint listens at the address; it did not run the request.
    WrongEndpoint,
}

/// Information from the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Whether the endpoint accepted the request.
    pub disposition: Disposition,
    /// What the response shows of its sender.
    pub origin: Origin,
    /// Request ID in the response.
    pub request_id: Option<Bytes>,
    /// Idle timeout that the endpoint announces for the connection.
    pub idle_timeout: Option<Duration>,
    /// Requests per second that the endpoint takes from all daemons together, if it sets a limit.
    pub requests_per_second: Option<f64>,
    /// Time for which the endpoint wants no further request of this daemon, if it names one.
    pub pause: Option<Duration>,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
    /// Whether the endpoint closes the connection after this response.
    pub closes_connection: bool,
}
