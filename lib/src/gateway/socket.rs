use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Time after which unacknowledged data closes a connection. It is well below the few seconds that
/// operators allow a VM to recover, counted from the end of a network failure.
pub(super) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time before the first keepalive probe and between probes; the socket options are whole seconds,
/// so 1 s is the minimum.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum number of connections that wait to be accepted; a full queue delays callers by seconds.
const BACKLOG: i32 = 1_024;

/// Opens a non-blocking listener with `SO_REUSEADDR`.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Enables detection of unresponsive remote hosts, and disables Nagle's algorithm.
pub(super) fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Sets the time after which data that the remote host has not acknowledged close the connection. It
/// also limits how long a host that is alive may leave its receive buffer full.
pub(super) fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}
