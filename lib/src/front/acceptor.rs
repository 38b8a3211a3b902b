use std::collections::HashMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use super::body_memory::BodyMemory;
use super::connection::{Connection, ReadError};
use super::{Code, Context, Refusal, Reply, handler};

/// Number of open connections permitted for each permitted open request. It exceeds 1, as callers
/// keep connections open between requests.
const CONNECTIONS_PER_REQUEST: usize = 2;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers' connections and serves each in its own thread.
#[derive(Debug)]
pub(super) struct Acceptor {
    context: Arc<Context>,
    stopped: AtomicBool,
    connections: Mutex<Connections>,
    memory: BodyMemory,
}

/// The open connections; a stop closes those that are idle.
#[derive(Debug, Default)]
struct Connections {
    next_id: u64,
    open: usize,
    idle: HashMap<u64, TcpStream>,
}

impl Acceptor {
    pub(super) fn open(context: Arc<Context>) -> Arc<Self> {
        Arc::new(Self {
            context,
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
            memory: BodyMemory::default(),
        })
    }

    /// Accepts until [`Self::stop`] is called.
    pub(super) fn run(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.is_stopped() {
                return;
            }
            match accepted {
                Ok((stream, _)) => self.spawn(stream),
                Err(error) => {
                    log::warn!("accepting a connection failed: {error}");
                    thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    /// Closes the idle connections and ends the accept loop at its next connection.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        for stream in self.lock().idle.values() {
            if let Err(error) = stream.shutdown(Shutdown::Read) {
                log::debug!("closing an idle connection failed: {error}");
            }
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn spawn(self: &Arc<Self>, stream: TcpStream) {
        let limit = self.context.node.settings.limits.open_requests.get() as usize;
        let id = {
            let mut connections = self.lock();
            if connections.open >= limit * CONNECTIONS_PER_REQUEST {
                drop(connections);
                return reject(&stream);
            }
            connections.open += 1;
            connections.next_id += 1;
            connections.next_id
        };
        let guard = ConnectionGuard {
            acceptor: Arc::clone(self),
            id,
        };
        let spawned = thread::Builder::new()
            .name("caller".to_owned())
            .spawn(move || guard.serve(stream));
        if let Err(error) = spawned {
            log::warn!("cannot spawn a thread for a connection: {error}");
        }
    }
}

/// Counts a connection as open until this guard is dropped, even if the connection's thread panics.
struct ConnectionGuard {
    acceptor: Arc<Acceptor>,
    id: u64,
}

impl ConnectionGuard {
    fn serve(&self, stream: TcpStream) {
        match Connection::open(stream, self.acceptor.memory.clone()) {
            Ok(connection) => self.serve_requests(connection),
            Err(error) => log::debug!("setting up a connection failed: {error}"),
        }
    }

    fn serve_requests(&self, mut connection: Connection) {
        let context = &self.acceptor.context;
        while self.wait_for_request(&mut connection) {
            match connection.read(&context.node.settings.limits) {
                Ok((head, incoming)) => {
                    let Ok(mut reply) = Reply::open(connection.stream(), &head) else {
                        return;
                    };
                    handler::serve(context, &incoming, &mut reply);
                    if !reply.keep_alive() || self.acceptor.is_stopped() {
                        return;
                    }
                }
                Err(ReadError::Closed) => return,
                Err(ReadError::Refused(refusal)) => {
                    log::debug!(code:? = refusal.code; "request refused");
                    if let Ok(mut reply) = Reply::closing(connection.stream())
                        && reply.refuse(&refusal).is_ok()
                    {
                        connection.close_after_refusal();
                    }
                    return;
                }
            }
        }
    }

    /// Waits for a request. In the meantime the connection counts as idle and a stop closes it.
    fn wait_for_request(&self, connection: &mut Connection) -> bool {
        let Ok(stream) = connection.stream().try_clone() else {
            return false;
        };
        self.acceptor.lock().idle.insert(self.id, stream);
        let has_request = !self.acceptor.is_stopped() && connection.wait_for_request(IDLE_TIMEOUT);
        self.acceptor.lock().idle.remove(&self.id);
        has_request
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut connections = self.acceptor.lock();
        connections.open -= 1;
        connections.idle.remove(&self.id);
    }
}

/// Refuses a connection in the accepting thread. The response fits into the empty socket buffer, so
/// the write does not block.
fn reject(stream: &TcpStream) {
    let refusal = Refusal::not_run(Code::OverLimit, "too many connections are open");
    if let Ok(mut reply) = Reply::closing(stream)
        && let Err(error) = reply.refuse(&refusal)
    {
        log::debug!("caller disconnected: {error}");
    }
}
