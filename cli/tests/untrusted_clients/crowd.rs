use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::site::Site;

/// Connections that send the same at once.
pub const CONNECTIONS: usize = 80;

/// Time after which a connection that is not read any more stops to send.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Receive buffer of callers that never read, so that the system holds little of a response.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// Open connections of abusive callers.
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens the connections and sends the pieces on each; a refused connection stops to send and
    /// stays open on this side.
    pub fn send(site: &Site, pieces: &[Vec<u8>]) -> Self {
        Self::open(site.callers_address(), pieces, None)
    }

    /// As [`Self::send`], on connections that hold little of a response.
    pub fn send_without_reading(site: &Site, pieces: &[Vec<u8>]) -> Self {
        Self::open(site.callers_address(), pieces, Some(RECEIVE_BUFFER_BYTES))
    }

    fn open(address: SocketAddr, pieces: &[Vec<u8>], receive_buffer: Option<usize>) -> Self {
        let connections = (0..CONNECTIONS).map(|_| connect(address, receive_buffer));
        let connections: Vec<TcpStream> = connections.collect();
        thread::scope(|scope| {
            for mut connection in &connections {
                scope.spawn(move || {
                    for piece in pieces {
                        if connection.write_all(piece).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { connections }
    }

    /// Returns the number of connections that this side holds open.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

fn connect(address: SocketAddr, receive_buffer: Option<usize>) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes).unwrap();
    }
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true).unwrap();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    stream
}

/// Returns a request with a declared length, of whose body `sent` bytes are sent in pieces.
pub fn declared(length: usize, sent: usize, piece: usize) -> Vec<Vec<u8>> {
    let head = head(&format!("Content-Length: {length}"));
    let body = vec![b'x'; sent];
    let pieces = body.chunks(piece.min(sent)).map(<[u8]>::to_vec);
    std::iter::once(head).chain(pieces).collect()
}

/// Returns a request whose body is sent in chunks of this size and does not end.
pub fn chunked(chunk: usize, sent: usize) -> Vec<Vec<u8>> {
    let mut piece = format!("{chunk:x}\r\n").into_bytes();
    piece.resize(piece.len() + chunk, b'x');
    piece.extend_from_slice(b"\r\n");
    let pieces = std::iter::repeat_n(piece, sent / chunk);
    let head = head("Transfer-Encoding: chunked");
    std::iter::once(head).chain(pieces).collect()
}

/// Returns a request whose body is sent in chunks of one byte, `per_packet` of them at once, and does
/// not end.
pub fn one_byte_chunks(chunks: usize, per_packet: usize) -> Vec<Vec<u8>> {
    let per_packet = per_packet.min(chunks);
    let piece = b"1\r\nx\r\n".repeat(per_packet);
    let pieces = std::iter::repeat_n(piece, chunks / per_packet);
    let head = head("Transfer-Encoding: chunked");
    std::iter::once(head).chain(pieces).collect()
}

fn head(framing: &str) -> Vec<u8> {
    format!("POST /safe/x HTTP/1.1\r\nHost: shop.example\r\n{framing}\r\n\r\n").into_bytes()
}
