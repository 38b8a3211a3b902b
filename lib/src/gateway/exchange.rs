use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;

use super::client::{Client, ConnectError};
use super::connection::Connection;
use super::{Dialect, ResponseInfo};

/// Connections to try before a request counts as not sent; the endpoint may have closed a pooled
/// one.
const CONNECTION_ATTEMPTS_MAX: usize = 3;
/// Idle timeout that is assumed for an endpoint that announces none. Announced timeouts are whole
/// seconds, so an endpoint cannot announce one below 1 s.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_millis(300);

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
    /// The connection ended before the first byte of a body that ends with it.
    #[error("response ended with its connection before its first byte")]
    Empty,
    /// The body exceeds what is accepted.
    #[error("response body is longer than {bytes_max} bytes")]
    TooLong { bytes_max: usize },
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
        let info = dialect.parse_response(&head);
        let is_mismatch = match (request_id, &info.request_id) {
            (Some(expected), Some(received)) => expected.as_bytes() != received.as_ref(),
            _ => false,
        };
        if is_mismatch {
            return Err(ExchangeError::RequestIdMismatch);
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

    /// Reads a body of at most `bytes_max` bytes to its end and returns the connection to the pool.
    pub(super) async fn read_to_end(
        mut self,
        client: &Client,
        bytes_max: usize,
    ) -> Result<(response::Parts, ResponseInfo, Bytes), ExchangeError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next_data().await {
            let bytes = bytes?;
            if body.len() + bytes.len() > bytes_max {
                return Err(ExchangeError::TooLong { bytes_max });
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
