use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, response};
use http_body::Body as _;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;

use super::client::{Client, ConnectError};
use super::connection::Connection;
use super::memory_account::MemoryAccount;
use super::{Dialect, Origin, ResponseInfo};

/// Connections to try before a request counts as not sent; the endpoint may have closed a pooled
/// one.
const CONNECTION_ATTEMPTS_MAX: usize = 3;
/// Time for which an endpoint may have to wait before it gives up its response.
pub(super) const HELD_BACK_TIME: Duration = Duration::from_millis(500);
/// Idle timeout that is assumed for an endpoint that announces none. Announced timeouts are whole
/// seconds, so an endpoint cannot announce one below 1 s.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_millis(300);

/// Statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A request whose response head has arrived.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) head: response::Parts,
    pub(super) info: ResponseInfo,
    connection: Connection,
    body: Incoming,
}

/// Limits on the connection of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectOptions {
    /// Maximum idle time of a reused connection.
    pub(super) idle_max: Duration,
    /// Timeout for opening a connection.
    pub(super) connect_timeout: Duration,
}

/// Error of an exchange with an endpoint.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(#[from] ConnectError),
    /// The request was sent, but the connection failed before the response was complete.
    #[error("response lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The connection failed after the endpoint had to wait until there was memory for its response, so
    /// that it may have given up.
    #[error("response lost after it was held back: {0}")]
    HeldBack(hyper::Error),
    /// The connection ended before the first byte of a body that ends with it.
    #[error("response ended with its connection before its first byte")]
    Empty,
    /// The body exceeds what is accepted.
    #[error("response body is longer than {bytes_max} bytes")]
    TooLong { bytes_max: usize },
    /// The status is not that of a final response: a switch of protocols, which no request asks for,
    /// or a number that HTTP does not define. Other interim responses are skipped.
    #[error("response has status {0}, which is not that of a final response")]
    InvalidStatus(u16),
    /// The response carries no ID, and nothing else shows that it is the endpoint's: it may be additional
    /// bytes after the response to an earlier request.
    #[error("response names neither a request nor an endpoint")]
    Unidentified,
    /// The response carries the ID of another request.
    #[error("response carries the ID of another request")]
    RequestIdMismatch,
}

impl ExchangeError {
    /// Returns whether the connection failed after the request was sent.
    pub(super) const fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Empty)
    }

    pub(super) const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl Exchange {
    /// Sends a request and waits for the head of its response.
    pub(super) async fn start(
        client: &Client,
        dialect: &dyn Dialect,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        request_id: Option<&str>,
        connect_options: ConnectOptions,
    ) -> Result<Self, ExchangeError> {
        let mut connection_attempts = 0;
        loop {
            connection_attempts += 1;
            let idle_max = if connection_attempts < CONNECTION_ATTEMPTS_MAX {
                connect_options.idle_max
            } else {
                Duration::ZERO
            };
            let mut connection = client
                .connection(address, idle_max, connect_options.connect_timeout)
                .await?;
            match connection.send(request).await {
                Ok(response) => {
                    return Self::check_response(response, connection, dialect, request_id);
                }
                Err(mut error) => match error.take_message() {
                    Some(returned)
                        if connection.is_reused()
                            && connection_attempts < CONNECTION_ATTEMPTS_MAX =>
                    {
                        request = returned;
                    }
                    Some(_) => return Err(ConnectError::from(error.into_error()).into()),
                    None => return Err(error.into_error().into()),
                },
            }
        }
    }

    fn check_response(
        response: http::Response<Incoming>,
        connection: Connection,
        dialect: &dyn Dialect,
        request_id: Option<&str>,
    ) -> Result<Self, ExchangeError> {
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(ExchangeError::InvalidStatus(status));
        }
        let info = dialect.parse_response(&head);
        match (request_id, &info.request_id) {
            (Some(expected), Some(received)) if expected.as_bytes() != received.as_ref() => {
                return Err(ExchangeError::RequestIdMismatch);
            }
            (Some(_), None) if info.origin == Origin::Unknown => {
                return Err(ExchangeError::Unidentified);
            }
            _ => {}
        }
        Ok(Self {
            head,
            info,
            connection,
            body,
        })
    }

    /// Returns the next bytes of the body, or `None` at its end.
    pub(super) async fn next_data(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(error) => return Some(Err(error)),
            }
        }
    }

    /// Returns the first bytes of a stream, or `None` if it is empty.
    pub(super) async fn first_data(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let first = self.next_data().await.transpose()?;
        let headers = &self.head.headers;
        let has_length = headers.contains_key(CONTENT_LENGTH);
        let is_framed = has_length || headers.contains_key(TRANSFER_ENCODING);
        if first.is_none() && !is_framed && self.head.status.is_success() {
            return Err(ExchangeError::Empty);
        }
        Ok(first)
    }

    /// Reads a body of at most `bytes_max` bytes to its end and returns the connection to the pool. With
    /// an account, the body is read as there is memory for it.
    pub(super) async fn read_to_end(
        mut self,
        client: &Client,
        bytes_max: usize,
        memory: Option<&MemoryAccount>,
    ) -> Result<(response::Parts, ResponseInfo, Bytes), ExchangeError> {
        let declared = self.body.size_hint().exact().map(|it| it as usize);
        if declared.is_some_and(|declared| declared > bytes_max) {
            return Err(ExchangeError::TooLong { bytes_max });
        }
        let mut body: Vec<u8> = Vec::new();
        let mut is_held_back = false;
        // Responses that each hold a part and wait for the rest would block each other.
        if let Some(declared) = declared {
            is_held_back |= reserve(&mut body, declared, memory).await;
        }
        while let Some(bytes) = self.next_data().await {
            let bytes = match bytes {
                Ok(bytes) => bytes,
                Err(error) if is_held_back => return Err(ExchangeError::HeldBack(error)),
                Err(error) => return Err(error.into()),
            };
            let length = body.len() + bytes.len();
            if length > bytes_max {
                return Err(ExchangeError::TooLong { bytes_max });
            }
            if length > body.capacity() {
                let wanted = length.max(2 * body.capacity()).min(bytes_max);
                is_held_back |= reserve(&mut body, wanted, memory).await;
            }
            body.extend_from_slice(&bytes);
        }
        let head = self.head.clone();
        let info = self.info.clone();
        self.return_connection(client);
        Ok((head, info, body.into()))
    }

    /// Returns the connection to the pool unless the endpoint closes it. The body must have been
    /// read to its end.
    pub(super) fn return_connection(self, client: &Client) {
        if !self.info.closes_connection {
            let timeout = self.info.idle_timeout.unwrap_or(IDLE_TIMEOUT_DEFAULT);
            client.return_to_pool(self.connection, timeout);
        }
    }
}

/// Enlarges a body as soon as there is memory for it; returns whether its endpoint had to wait for long.
async fn reserve(body: &mut Vec<u8>, capacity: usize, memory: Option<&MemoryAccount>) -> bool {
    let started_at = Instant::now();
    let bytes = capacity.saturating_sub(body.capacity());
    if let Some(memory) = memory
        && bytes > 0
    {
        memory.grow_patiently(bytes).await;
    }
    body.reserve_exact(capacity.saturating_sub(body.len()));
    started_at.elapsed() >= HELD_BACK_TIME
}
