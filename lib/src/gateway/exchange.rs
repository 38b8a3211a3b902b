use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;

use super::client::{Client, ConnectError};
use super::connection::Connection;
use super::{Dialect, Reply};

/// Connections to try before a request counts as not sent; an idle one may turn out closed.
const CONNECTIONS_MAX: usize = 3;
/// Idle timeout of a peer that names none; those that name one give whole seconds.
const IDLE_TIMEOUT_UNNAMED: Duration = Duration::from_millis(300);

/// A request whose answer has begun.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) head: response::Parts,
    pub(super) reply: Reply,
    connection: Connection,
    body: Incoming,
}

/// How a connection is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Patience {
    /// Longest time for which the connection was idle.
    pub(super) idle_max: Duration,
    /// Longest time to open one.
    pub(super) connect_timeout: Duration,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Broken {
    /// The request did not leave this daemon.
    #[error("not sent: {0}")]
    NotSent(#[from] ConnectError),
    /// The request was sent, and the connection or the answer broke.
    #[error("answer lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The answer is to another request.
    #[error("answer belongs to another request")]
    Crossed,
}

impl Broken {
    pub(super) const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl Exchange {
    /// Sends a request and waits for the head of its answer.
    pub(super) async fn begin(
        client: &Client,
        dialect: &dyn Dialect,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        request_id: Option<&str>,
        patience: Patience,
    ) -> Result<Self, Broken> {
        let mut tries = 0;
        loop {
            tries += 1;
            let idle_max = if tries < CONNECTIONS_MAX {
                patience.idle_max
            } else {
                Duration::ZERO
            };
            let mut connection = client
                .connection(address, idle_max, patience.connect_timeout)
                .await?;
            match connection.send(request).await {
                Ok(response) => {
                    return Self::judge(response, connection, dialect, request_id);
                }
                Err(mut unsent) => match unsent.take_message() {
                    Some(returned) if connection.is_reused() && tries < CONNECTIONS_MAX => {
                        request = returned;
                    }
                    Some(_) => return Err(ConnectError::from(unsent.into_error()).into()),
                    None => return Err(unsent.into_error().into()),
                },
            }
        }
    }

    fn judge(
        response: http::Response<Incoming>,
        connection: Connection,
        dialect: &dyn Dialect,
        request_id: Option<&str>,
    ) -> Result<Self, Broken> {
        let (head, body) = response.into_parts();
        let reply = dialect.reply(&head);
        let is_crossed = match (request_id, &reply.request_id) {
            (Some(expected), Some(answered)) => expected.as_bytes() != answered.as_ref(),
            _ => false,
        };
        if is_crossed {
            return Err(Broken::Crossed);
        }
        Ok(Self {
            head,
            reply,
            connection,
            body,
        })
    }

    /// Returns the next bytes of the body, or `None` at its proper end.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
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

    /// Reads the whole body and keeps the connection for further requests.
    pub(super) async fn finish(
        mut self,
        client: &Client,
    ) -> Result<(response::Parts, Reply, Bytes), Broken> {
        let mut whole = Vec::new();
        while let Some(bytes) = self.next().await {
            whole.extend_from_slice(&bytes?);
        }
        let head = self.head.clone();
        let reply = self.reply.clone();
        self.release(client);
        Ok((head, reply, whole.into()))
    }

    /// Keeps the connection after the body was read to its end.
    pub(super) fn release(self, client: &Client) {
        if !self.reply.closes {
            let timeout = self.reply.idle_timeout.unwrap_or(IDLE_TIMEOUT_UNNAMED);
            client.keep(self.connection, timeout);
        }
    }
}
