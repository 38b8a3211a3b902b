use std::io::Read as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ragwortgrade_schema::admin::{DrainAnswer, DrainRequest};
use rouille::{Request, Response, Server};

use super::reply::{error_response, json_response};
use super::{AUTH_HEADER, Authenticator, Backend};
use crate::Clock;
use crate::worker::Worker;

const BODY_BYTES_MAX: u64 = 4_096;
/// Enough for a few operators; bounds the resources that a flood of requests can occupy.
const THREADS: usize = 4;
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Server of the operators' interface; dropping it stops the server.
#[derive(Debug)]
pub struct Admin {
    address: SocketAddr,
    _worker: Worker,
}

impl Admin {
    /// Binds the address and serves requests on a background thread.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn bind(
        address: &str,
        authenticator: Authenticator,
        backend: Arc<dyn Backend>,
    ) -> std::io::Result<Self> {
        let handler = Handler {
            authenticator,
            backend,
            clock: Clock::start(),
        };
        let server = Server::new(address, move |request| handler.answer(request))
            .map_err(|error| std::io::Error::other(error.to_string()))?
            .pool_size(THREADS);
        Ok(Self {
            address: server.server_addr(),
            _worker: Worker::spawn("admin", move || {
                server.poll_timeout(POLL_TIMEOUT);
                Duration::ZERO
            })?,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Handler {
    authenticator: Authenticator,
    backend: Arc<dyn Backend>,
    clock: Clock,
}

impl Handler {
    fn answer(&self, request: &Request) -> Response {
        let Some(body) = read_body(request) else {
            return error_response(413, "too_large", "the body is at most 4096 bytes");
        };
        let authenticated = self.authenticator.authenticate(
            request.header(AUTH_HEADER),
            request.method(),
            request.raw_url(),
            &body,
            self.clock.unix_ms(),
        );
        let operator = match authenticated {
            Ok(operator) => operator,
            Err(rejection) => {
                log::warn!(reason:% = rejection; "rejected a request to the operators' interface");
                return error_response(401, "unauthorized", &rejection.to_string());
            }
        };
        match (request.method(), request.url().as_str()) {
            ("GET", "/status") => json_response(200, &self.backend.status()),
            ("GET", "/watch") => self.watch(request),
            ("POST", "/drain") => self.drain(&body, operator),
            _ => error_response(404, "unknown_path", "known are /status, /watch and /drain"),
        }
    }

    fn watch(&self, request: &Request) -> Response {
        let after = request.get_param("after");
        let Ok(after) = after.as_deref().unwrap_or("0").parse() else {
            return error_response(400, "malformed", "`after` is the number of a line");
        };
        let mut lines = self.backend.lines(after).join("\n");
        if !lines.is_empty() {
            lines.push('\n');
        }
        Response::from_data("application/x-ndjson", lines)
    }

    /// Starts the daemon's drain. The body has to name the daemon and its incarnation, so that a
    /// request captured on the network can drain neither another daemon nor the same daemon after a
    /// restart.
    fn drain(&self, body: &[u8], operator: &str) -> Response {
        let Ok(request) = serde_json::from_slice::<DrainRequest>(body) else {
            return error_response(
                400,
                "malformed",
                "the body names `daemon` and `incarnation`",
            );
        };
        let own = self.backend.status().daemon;
        if own.id != request.daemon || own.incarnation != request.incarnation {
            return error_response(409, "other_daemon", "the request names another process");
        }
        log::info!(operator; "operator drains the daemon");
        self.backend.drain();
        json_response(202, &DrainAnswer { draining: true })
    }
}

/// Reads the body; `None` if it exceeds the limit or is truncated.
fn read_body(request: &Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(data) = request.data() {
        data.take(BODY_BYTES_MAX + 1).read_to_end(&mut body).ok()?;
    }
    (body.len() as u64 <= BODY_BYTES_MAX).then_some(body)
}
