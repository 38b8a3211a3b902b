use std::collections::HashMap;
use std::io::{BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::{ENDLESS_BYTES_MAX, Request, Response};

/// Time between the last bytes of a response and a reset.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// Worker that responds as the test defines and records the requests.
#[derive(Debug)]
pub struct Worker {
    address: SocketAddr,
    record: Arc<Record>,
}

/// What a worker has received and sent.
#[derive(Debug, Default)]
struct Record {
    requests: Mutex<Vec<Request>>,
    endless_bytes: AtomicUsize,
    is_crashed: AtomicBool,
    /// Open connections by the address of the peer.
    connections: Mutex<HashMap<SocketAddr, TcpStream>>,
}

impl Record {
    /// Closes all connections, and the listening socket once `address` is connected to.
    fn crash(&self, address: SocketAddr) {
        self.is_crashed.store(true, Ordering::SeqCst);
        // Ends the wait for a connection. It fails if the listening socket is closed already.
        let _wakeup = TcpStream::connect(address);
        let mut connections = lock(&self.connections);
        for (_, connection) in connections.drain() {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Handler = dyn Fn(&Request) -> Response + Send + Sync;

impl Worker {
    /// Listens on a free loopback port and responds to each request with the result of `handler`.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    #[must_use]
    pub fn bind(handler: impl Fn(&Request) -> Response + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("the listener is bound");
        let record = Arc::new(Record::default());
        let handler: Arc<Handler> = Arc::new(handler);
        let shared_record = Arc::clone(&record);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared_record.is_crashed.load(Ordering::SeqCst) {
                    return;
                }
                let (Ok(peer), Ok(connection)) = (stream.peer_addr(), stream.try_clone()) else {
                    continue;
                };
                lock(&shared_record.connections).insert(peer, connection);
                let (handler, record) = (Arc::clone(&handler), Arc::clone(&shared_record));
                thread::spawn(move || {
                    serve(stream, &*handler, &record, address);
                    lock(&record.connections).remove(&peer);
                });
            }
        });
        Self { address, record }
    }

    /// Returns the address that the worker listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes that endless responses have sent so far.
    #[must_use]
    pub fn endless_bytes(&self) -> usize {
        self.record.endless_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether the worker has crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.record.is_crashed.load(Ordering::SeqCst)
    }

    /// Returns the requests received so far.
    #[must_use]
    pub fn requests(&self) -> Vec<Request> {
        lock(&self.record.requests).clone()
    }
}

fn serve(stream: TcpStream, handler: &Handler, record: &Record, address: SocketAddr) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = Request::read(&mut reader) {
        let response = handler(&request);
        lock(&record.requests).push(request);
        let is_written = match &response {
            Response::Bytes(bytes) | Response::BytesThenClose(bytes) => {
                writer.write_all(bytes).is_ok()
            }
            Response::BytesThenReset(bytes) => {
                if writer.write_all(bytes).is_err() {
                    return;
                }
                // Lets the peer read the bytes before the reset discards them.
                thread::sleep(RESET_DELAY);
                let _set = SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                false
            }
            Response::Endless { start, repeated } => {
                writer.write_all(start).is_ok()
                    && send_endless(&mut writer, repeated, &record.endless_bytes)
            }
            Response::Paced { pieces, pause } => send_paced(&mut writer, pieces, *pause),
            Response::NoResponse => true,
            Response::Close => false,
            Response::Crash => {
                record.crash(address);
                false
            }
        };
        if !is_written || matches!(response, Response::BytesThenClose(_)) {
            return;
        }
    }
}

/// Sends pieces with pauses; returns whether the connection is still open at the end.
fn send_paced(writer: &mut TcpStream, pieces: &[Vec<u8>], pause: Duration) -> bool {
    for (number, piece) in pieces.iter().enumerate() {
        if number > 0 {
            thread::sleep(pause);
        }
        if writer.write_all(piece).is_err() {
            return false;
        }
    }
    true
}

/// Sends bytes again and again; returns whether the connection is still open at the end.
fn send_endless(writer: &mut TcpStream, repeated: &[u8], endless_bytes: &AtomicUsize) -> bool {
    while endless_bytes.load(Ordering::Relaxed) < ENDLESS_BYTES_MAX {
        if writer.write_all(repeated).is_err() {
            return false;
        }
        endless_bytes.fetch_add(repeated.len(), Ordering::Relaxed);
    }
    true
}
