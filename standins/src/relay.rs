//! TCP relay that simulates network partitions.

mod cut;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

pub use self::cut::Cut;
use crate::Error;

/// JSON text that precedes the daemon's name in the first frame of a connection between daemons.
const DAEMON_NAME_MARKER: &str = "\"id\":\"";
const BUFFER_BYTES: usize = 64 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which blocked reads and waits check for a stop request.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// TCP forwarder in which either direction can be cut and restored.
///
/// Bytes sent during a cut are delivered after it, as TCP does by retransmission.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    /// Cuts by name prefix of the connecting daemon; the empty prefix matches all connections.
    cuts: Mutex<HashMap<String, Cut>>,
    cuts_changed: Condvar,
    stopping: AtomicBool,
}

#[derive(Clone, Copy)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Relay {
    /// Listens on `address` and forwards to `target`.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn bind(address: &str, target: SocketAddr) -> Result<Self, Error> {
        let bind_error = |error: &io::Error| Error::Bind {
            address: address.to_owned(),
            reason: error.to_string(),
        };
        let listener = TcpListener::bind(address).map_err(|error| bind_error(&error))?;
        let local = listener.local_addr().map_err(|error| bind_error(&error))?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            cuts: Mutex::new(HashMap::new()),
            cuts_changed: Condvar::new(),
            stopping: AtomicBool::new(false),
        });
        let accept_shared = Arc::clone(&shared);
        let accept_thread = thread::spawn(move || accept(&listener, &accept_shared));
        Ok(Self {
            address: local,
            shared,
            accept_thread: Some(accept_thread),
        })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which new connections are forwarded, for example after a restart.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Cuts the given directions of all connections and restores the other directions. Cuts set
    /// with [`Self::set_cut_from`] stay.
    pub fn set_cut(&self, cut: Cut) {
        self.set_cut_from("", cut);
    }

    /// Cuts or restores the connections of daemons whose name starts with `prefix`.
    ///
    /// Daemons send their name in the first frame of connections to each other, so this works only
    /// for a relay of such connections.
    pub fn set_cut_from(&self, prefix: &str, cut: Cut) {
        lock(&self.shared.cuts).insert(prefix.to_owned(), cut);
        self.shared.cuts_changed.notify_all();
    }

    /// Stops the relay and closes its connections.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.cuts_changed.notify_all();
        // Connecting to the own address unblocks `accept`.
        drop(TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT));
        if let Some(accept_thread) = self.accept_thread.take()
            && accept_thread.join().is_err()
        {
            log::error!("the accept thread of a relay panicked");
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shut_down();
    }
}

impl Shared {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Blocks while the direction is cut for connections of the daemon with this name. The name
    /// is empty while it is unknown; then only cuts of all connections apply.
    fn wait_until_open(&self, direction: Direction, client_name: &str) {
        let mut cuts = lock(&self.cuts);
        let blocks = |cuts: &HashMap<String, Cut>| {
            let mut matching = cuts
                .iter()
                .filter(|(prefix, _)| client_name.starts_with(*prefix));
            matching.any(|(_, cut)| cut.blocks(direction))
        };
        while blocks(&cuts) && !self.is_stopping() {
            cuts = self
                .cuts_changed
                .wait_timeout(cuts, STOP_CHECK_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl Cut {
    fn blocks(self, direction: Direction) -> bool {
        match (self, direction) {
            (Self::None, _) => false,
            (Self::Both, _) => true,
            (Self::ToTarget, direction) => matches!(direction, Direction::ToTarget),
            (Self::FromTarget, direction) => matches!(direction, Direction::FromTarget),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.is_stopping() {
            return;
        }
        if let Ok(stream) = stream {
            let shared = Arc::clone(shared);
            thread::spawn(move || {
                // When the target refuses or breaks the connection, the client's is closed too.
                drop(relay_connection(&stream, &shared));
            });
        }
    }
}

/// Forwards both directions of a connection until either side closes it.
fn relay_connection(client: &TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    shared.wait_until_open(Direction::ToTarget, "");
    let client_name = Arc::new(OnceLock::new());
    let target = *lock(&shared.target);
    let target = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    for stream in [client, &target] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    }
    let (return_from, return_to) = (target.try_clone()?, client.try_clone()?);
    let (return_shared, return_client_name) = (Arc::clone(shared), Arc::clone(&client_name));
    let return_path = thread::spawn(move || {
        let direction = Direction::FromTarget;
        forward(
            &return_from,
            &return_to,
            direction,
            &return_shared,
            &return_client_name,
        );
    });
    forward(client, &target, Direction::ToTarget, shared, &client_name);
    if return_path.join().is_err() {
        log::error!("a relay thread panicked");
    }
    Ok(())
}

/// Forwards one direction of a connection until it ends, then closes both sides. The first data
/// from the client determines its name.
fn forward(
    mut from: &TcpStream,
    mut to: &TcpStream,
    direction: Direction,
    shared: &Shared,
    client_name: &OnceLock<String>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while !shared.is_stopping() {
        let read = match from.read(&mut buffer) {
            Ok(read) => read,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => 0,
        };
        if matches!(direction, Direction::ToTarget) {
            client_name.get_or_init(|| daemon_name(&buffer[..read]));
        }
        let name = client_name.get().map_or("", String::as_str);
        shared.wait_until_open(direction, name);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    // The relayed protocols do not use half-closed connections, so both sides are closed.
    drop(from.shutdown(Shutdown::Both));
    drop(to.shutdown(Shutdown::Both));
}

/// Extracts the daemon's name from the first frame of a connection; empty for other protocols.
fn daemon_name(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let name = text
        .split_once(DAEMON_NAME_MARKER)
        .and_then(|(_, rest)| rest.split_once('"'));
    name.map_or_else(String::new, |(name, _)| name.to_owned())
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
