//! The HTTP interface for callers.

mod acceptor;
mod admission;
mod body_memory;
mod chat;
mod code;
mod connection;
mod context;
mod digest;
mod handler;
mod head;
mod incoming_request;
mod last_event_id;
mod refusal;
mod replay_buffers;
mod reply;
mod service;
mod sinks;

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use acceptor::Acceptor;
pub use code::Code;
pub(crate) use context::Context;
pub use head::{BodyLength, Head};
pub use incoming_request::IncomingRequest;
pub use last_event_id::LastEventId;
pub use refusal::Refusal;
pub use replay_buffers::ReplayBuffers;
pub use reply::Reply;

use crate::Node;
use crate::peer::Peers;
use crate::trial::Trials;
use crate::worker::Worker;

/// Time between two checks of the number of open requests during a drain.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time between two checks of the number of daemons that share the workspaces' limits.
const LIMITS_POLL_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of the connection that [`Front::stop`] opens to wake the accept loop.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// The running HTTP server for callers.
#[derive(Debug)]
pub struct Front {
    address: SocketAddr,
    context: Arc<Context>,
    acceptor: Arc<Acceptor>,
    thread: Option<JoinHandle<()>>,
    _limits: Worker,
}

impl Front {
    /// Listens on the `callers_address` of the settings and starts to serve requests.
    ///
    /// `replay_buffers` and `trials` are shared with the handler of peers' calls.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or a thread cannot be started.
    pub fn bind(
        node: Arc<Node>,
        peers: Arc<dyn Peers>,
        replay_buffers: Arc<ReplayBuffers>,
        trials: Arc<Trials>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(&node.settings.daemon.callers_address)?;
        let address = listener.local_addr()?;
        let context = Arc::new(Context::open(node, peers, replay_buffers, trials)?);
        let limits = Worker::spawn("limits", {
            let context = Arc::clone(&context);
            move || {
                context.refresh_limits();
                LIMITS_POLL_PERIOD
            }
        })?;
        let acceptor = Acceptor::open(Arc::clone(&context));
        let thread = thread::Builder::new().name("front".to_owned()).spawn({
            let acceptor = Arc::clone(&acceptor);
            move || acceptor.run(&listener)
        })?;
        Ok(Self {
            address,
            context,
            acceptor,
            thread: Some(thread),
            _limits: limits,
        })
    }

    pub(crate) fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Returns the address on which callers are served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many responses were dropped because they did not contain the identity of their
    /// attempt.
    #[must_use]
    pub fn mismatched_responses(&self) -> u64 {
        self.context.mismatched_responses.load(Ordering::Relaxed)
    }

    /// Refuses new requests and waits for the open ones, at most for the drain timeout.
    ///
    /// Returns whether all of them have ended.
    #[must_use]
    pub fn drain(&self) -> bool {
        self.context.node.start_draining();
        let timeout = Duration::from_millis(self.context.node.settings.limits.drain_timeout_ms);
        let end = Instant::now() + timeout;
        while self.context.open_requests() > 0 {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(DRAIN_POLL_PERIOD);
        }
        true
    }

    /// Stops accepting requests; those in progress continue in their threads.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.acceptor.stop();
        if let Err(error) = TcpStream::connect_timeout(&connect_address(self.address), WAKE_TIMEOUT)
        {
            log::warn!("cannot wake the accept loop for callers: {error}");
            return;
        }
        if thread.join().is_err() {
            log::error!("the accept loop for callers panicked");
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns an address at which this process can connect to its own listener.
fn connect_address(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
