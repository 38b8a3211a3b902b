use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONNECTION;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::{TrySendError, http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::connection::{Connection, IdleConnection};
use super::head_limit::HeadLimit;
use super::socket;

/// Maximum number of pooled connections per address: about that of its concurrent requests.
const IDLE_PER_ADDRESS_MAX: usize = 16;

/// Maximum size of the read buffer of a connection, and so of a response head, in bytes.
pub(super) const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Maximum size of a response of the store, in bytes. The largest are the configuration and lists
/// of registrations.
const STORE_RESPONSE_BYTES_MAX: usize = 32 << 20;

/// Maximum idle time of a reused connection to the store, which responds within milliseconds.
const STORE_IDLE_MAX: Duration = Duration::from_secs(3);
const STORE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP/1.1 client with a connection pool, used for endpoints and the store.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// Timeouts of a call to the store.
#[derive(Clone, Copy, Debug)]
pub struct FetchTimeouts {
    /// Time until the head of the response.
    pub head: Duration,
    /// Time until the end of the response.
    pub total: Duration,
}

/// Error before a request was sent.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    #[error("connection failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("connect timed out")]
    TimedOut,
}

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection could not be opened.
    #[error("{0}")]
    Unreachable(String),
    /// The connection failed before the response was complete.
    #[error("response lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The response exceeds what is accepted.
    #[error("response is longer than {STORE_RESPONSE_BYTES_MAX} bytes")]
    TooLong,
    /// The response was not complete within the timeout.
    #[error("request timed out")]
    TimedOut,
}

impl Client {
    /// Sends a request to the store and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, the connection fails, or the response has not begun or
    /// is not complete within its timeout. Unless the error is [`FetchError::Unreachable`], the
    /// store may have executed the request nevertheless.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeouts: FetchTimeouts,
    ) -> Result<Response<Bytes>, FetchError> {
        let response = self.fetch_response(address, request, timeouts.head);
        let result = tokio::time::timeout(timeouts.total, response).await;
        result.unwrap_or(Err(FetchError::TimedOut))
    }

    async fn fetch_response(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<Response<Bytes>, FetchError> {
        let exchange = async {
            let mut connection = self
                .connection(address, STORE_IDLE_MAX, STORE_CONNECT_TIMEOUT)
                .await
                .map_err(|error| FetchError::Unreachable(error.to_string()))?;
            let response = connection
                .send(request)
                .await
                .map_err(TrySendError::into_error)?;
            Ok((connection, response))
        };
        let (connection, response) = tokio::time::timeout(head_timeout, exchange)
            .await
            .unwrap_or(Err(FetchError::TimedOut))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, STORE_RESPONSE_BYTES_MAX);
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => match error.downcast::<hyper::Error>() {
                Ok(error) => return Err(FetchError::Lost(*error)),
                Err(_too_long) => return Err(FetchError::TooLong),
            },
        };
        let connection_header = head.headers.get(CONNECTION);
        if connection_header.is_none_or(|value| !value.as_bytes().eq_ignore_ascii_case(b"close")) {
            self.return_to_pool(connection, STORE_IDLE_TIMEOUT);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Returns a pooled connection that was idle for less than `idle_max`, or opens one within
    /// `timeout`.
    pub(super) async fn connection(
        &self,
        address: SocketAddr,
        idle_max: Duration,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(address, idle_max) {
            return Ok(connection);
        }
        tokio::time::timeout(timeout, connect(address))
            .await
            .map_err(|_elapsed| ConnectError::TimedOut)?
    }

    /// Returns whether the address refuses a new connection.
    pub(super) async fn is_refused(&self, address: SocketAddr, timeout: Duration) -> bool {
        let connect = tokio::time::timeout(timeout, TcpStream::connect(address));
        let result = connect.await;
        matches!(result, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(super) fn return_to_pool(&self, connection: Connection, idle_timeout: Duration) {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(connection.address()).or_default();
        if pooled.len() < IDLE_PER_ADDRESS_MAX {
            pooled.push(connection.into_idle(idle_timeout));
        }
    }

    /// Closes pooled connections that have reached their idle timeout; called periodically for
    /// those to endpoints.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, pooled| {
            pooled.retain(|idle| idle.is_usable(now, Duration::MAX));
            !pooled.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, idle_max: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(candidate) = pooled.pop() {
            if candidate.is_usable(now, idle_max) {
                return Some(candidate.into_connection());
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = TcpStream::connect(address).await?;
    socket::configure_stream(&stream)?;
    let head_limit = HeadLimit::default();
    let (sender, driver) = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(BUFFER_BYTES_MAX)
        .handshake::<_, Full<Bytes>>(TokioIo::new(head_limit.clone().apply(stream)))
        .await?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!(
                address:% = address, error:% = error;
                "connection to endpoint or store failed"
            );
        }
    });
    let task = task.abort_handle();
    Ok(Connection::new(address, sender, task, head_limit))
}
