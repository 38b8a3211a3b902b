use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::Error;

/// Interval at which the accept thread checks for a stop request.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// HTTP server with one thread per request, for handlers that stream or break connections; based on
/// `tiny_http`.
pub(crate) struct HttpServer {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    accept_thread: Option<JoinHandle<()>>,
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Listens on `address` and passes each request to `handler`.
    pub(crate) fn bind(
        address: &str,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let bind_error = |reason: String| Error::Bind {
            address: address.to_owned(),
            reason,
        };
        let listener = TcpListener::bind(address).map_err(|error| bind_error(error.to_string()))?;
        // Accepted connections inherit this option. With Nagle's algorithm each token of a stream
        // would wait up to 40 ms for the acknowledgement of the previous one.
        rustix::net::sockopt::set_tcp_nodelay(&listener, true)
            .map_err(|error| bind_error(error.to_string()))?;
        let address = listener
            .local_addr()
            .map_err(|error| bind_error(error.to_string()))?;
        let server =
            Server::from_listener(listener, None).map_err(|error| bind_error(error.to_string()))?;
        let stopping = Arc::new(AtomicBool::new(false));
        let accept_thread = spawn_accept_thread(server, Arc::clone(&stopping), Arc::new(handler));
        Ok(Self {
            address,
            stopping,
            accept_thread: Some(accept_thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and joins the accept thread.
    pub(crate) fn stop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(accept_thread) = self.accept_thread.take()
            && accept_thread.join().is_err()
        {
            log::error!("the accept thread of {} panicked", self.address);
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn spawn_accept_thread<H>(
    server: Server,
    stopping: Arc<AtomicBool>,
    handler: Arc<H>,
) -> JoinHandle<()>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    thread::spawn(move || {
        while !stopping.load(Ordering::Relaxed) {
            match server.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(Some(request)) => {
                    let handler = Arc::clone(&handler);
                    thread::spawn(move || handler(request));
                }
                Ok(None) => {}
                Err(error) => {
                    log::error!("cannot accept connections: {error}");
                    return;
                }
            }
        }
    })
}
