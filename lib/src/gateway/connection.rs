use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

use super::head_limit::HeadLimit;

/// Fraction of the server's idle timeout after which a connection is not reused, so that a request
/// does not race with the server closing it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// An open HTTP/1.1 connection. Dropping it closes the socket, which cancels the request in
/// progress on it.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDrop,
    head_limit: HeadLimit,
    is_reused: bool,
}

/// A pooled connection without a request in progress.
#[derive(Debug)]
pub(super) struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    timeout: Duration,
}

#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    pub(super) fn new(
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        task: AbortHandle,
        head_limit: HeadLimit,
    ) -> Self {
        Self {
            address,
            sender,
            task: AbortOnDrop(task),
            head_limit,
            is_reused: false,
        }
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) const fn is_reused(&self) -> bool {
        self.is_reused
    }

    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.start();
        let result = self.sender.try_send_request(request).await;
        self.head_limit.stop();
        result
    }

    pub(super) fn into_idle(self, idle_timeout: Duration) -> IdleConnection {
        IdleConnection {
            connection: self,
            idle_since: Instant::now(),
            timeout: idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
        }
    }
}

impl IdleConnection {
    pub(super) fn is_usable(&self, now: Instant, idle_max: Duration) -> bool {
        let is_open = !self.connection.sender.is_closed() && !self.connection.task.0.is_finished();
        is_open && now.duration_since(self.idle_since) < self.timeout.min(idle_max)
    }

    pub(super) fn into_connection(self) -> Connection {
        Connection {
            is_reused: true,
            ..self.connection
        }
    }
}
