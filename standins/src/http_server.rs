use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::Error;

/// How long the accepting thread waits before it looks whether it shall stop.
const ACCEPT_WAIT: Duration = Duration::from_millis(50);

/// Serves HTTP with one thread for each request.
pub(crate) struct HttpServer {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    accepting: Option<JoinHandle<()>>,
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Listens on `address` and hands each request to `handler`.
    pub(crate) fn bind(
        address: &str,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let failed = |reason: String| Error::Bind {
            address: address.to_owned(),
            reason,
        };
        let listener = TcpListener::bind(address).map_err(|error| failed(error.to_string()))?;
        // Accepted connections inherit the option. Without it each token of a stream would wait
        // for the acknowledgement of the one before, up to 40 ms.
        rustix::net::sockopt::set_tcp_nodelay(&listener, true)
            .map_err(|error| failed(error.to_string()))?;
        let address = listener
            .local_addr()
            .map_err(|error| failed(error.to_string()))?;
        let server =
            Server::from_listener(listener, None).map_err(|error| failed(error.to_string()))?;
        let stopping = Arc::new(AtomicBool::new(false));
        let accepting = spawn_accepting(server, Arc::clone(&stopping), Arc::new(handler));
        Ok(Self {
            address,
            stopping,
            accepting: Some(accepting),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits for the accepting thread.
    pub(crate) fn stop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(accepting) = self.accepting.take()
            && accepting.join().is_err()
        {
            log::error!("the accepting thread of {} panicked", self.address);
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn spawn_accepting<H>(server: Server, stopping: Arc<AtomicBool>, handler: Arc<H>) -> JoinHandle<()>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    thread::spawn(move || {
        while !stopping.load(Ordering::Relaxed) {
            match server.recv_timeout(ACCEPT_WAIT) {
                Ok(Some(request)) => {
                    let handler = Arc::clone(&handler);
                    thread::spawn(move || handler(request));
                }
                Ok(None) => {}
                Err(error) => {
                    log::error!("accepting failed: {error}");
                    return;
                }
            }
        }
    })
}
