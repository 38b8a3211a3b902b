//! The callers' interface over HTTP.

mod admission;
mod chat;
mod code;
mod context;
mod handler;
mod incoming;
mod refusal;
mod reply;
mod service;
mod streams;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub use code::Code;
pub(crate) use context::Context;
pub use incoming::Incoming;
pub use refusal::Refusal;
pub use reply::Reply;
pub use streams::Streams;

use crate::Node;
use crate::peer::Peers;
use crate::trial::Trials;

/// Time between two looks at the number of open requests during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// The running callers' interface.
pub struct Front {
    address: SocketAddr,
    context: Arc<Context>,
    server: Arc<tiny_http::Server>,
    stopped: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for Front {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Front")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Front {
    /// Opens the callers' address of the settings and serves it.
    ///
    /// `streams` and `trials` are shared with the handler of peers' calls.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(
        node: Arc<Node>,
        peers: Arc<dyn Peers>,
        streams: Arc<Streams>,
        trials: Arc<Trials>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(&node.settings.daemon.callers_address)?;
        let listener = without_delay(listener)?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let server = Arc::new(server);
        let context = Arc::new(Context::new(node, peers, streams, trials));
        let stopped = Arc::new(AtomicBool::new(false));
        let acceptor = thread::Builder::new().name("front".to_owned()).spawn({
            let (server, context) = (Arc::clone(&server), Arc::clone(&context));
            let stopped = Arc::clone(&stopped);
            move || accept(&server, &context, &stopped)
        })?;
        Ok(Self {
            address,
            context,
            server,
            stopped,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address on which callers are served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new requests and waits for the open ones, at most the drain timeout.
    ///
    /// Returns whether all of them ended.
    #[must_use]
    pub fn drain(&self) -> bool {
        self.context.node.start_draining();
        let timeout = Duration::from_millis(self.context.node.settings.limits.drain_timeout_ms);
        let end = Instant::now() + timeout;
        while self.context.open_requests() > 0 {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(DRAIN_POLL);
        }
        true
    }

    /// Stops accepting requests; those being served go on in their threads.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.server.unblock();
        if let Some(acceptor) = self.acceptor.take()
            && acceptor.join().is_err()
        {
            log::error!("the callers' acceptor had failed");
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Turns off the delay of small segments, which would hold a token back for tens of milliseconds.
///
/// Accepted connections inherit the option from the listener; the listener's own type does not
/// offer it.
fn without_delay(listener: TcpListener) -> io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

fn accept(server: &tiny_http::Server, context: &Arc<Context>, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Acquire) {
        match server.recv() {
            Ok(request) => {
                let context = Arc::clone(context);
                let spawned = thread::Builder::new()
                    .name("request".to_owned())
                    .spawn(move || handler::serve(&context, request));
                if let Err(error) = spawned {
                    log::warn!("no thread for a request: {error}");
                }
            }
            Err(error) if stopped.load(Ordering::Acquire) => {
                log::debug!("callers' interface stopped: {error}");
            }
            Err(error) => log::warn!("accepting a request failed: {error}"),
        }
    }
}
