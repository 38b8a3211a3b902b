use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::caller_connection::CallerConnection;
use super::socket;

/// TCP stream that records on its connection when the first bytes of a head arrive, and whether the
/// caller takes what is sent to it.
#[derive(Debug)]
pub(super) struct MonitoredStream {
    stream: TcpStream,
    caller: Rc<CallerConnection>,
    /// Time for which a caller may read nothing of a response.
    unread_timeout: Duration,
    /// Whether bytes of a response may wait for the caller to read them.
    is_sending: bool,
}

impl MonitoredStream {
    pub(super) const fn new(
        stream: TcpStream,
        caller: Rc<CallerConnection>,
        unread_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            caller,
            unread_timeout,
            is_sending: false,
        }
    }

    /// Records that bytes are sent: from now on the kernel can't tell a caller that is gone from one
    /// whose receive buffer is full.
    fn start_sending(&mut self) {
        if !std::mem::replace(&mut self.is_sending, true) {
            self.set_timeout(self.unread_timeout);
        }
    }

    /// Records that the caller sends its next request, and so has read the responses before.
    fn end_sending(&mut self) {
        if std::mem::take(&mut self.is_sending) {
            self.set_timeout(socket::UNACKNOWLEDGED_TIMEOUT);
        }
    }

    fn set_timeout(&self, timeout: Duration) {
        if let Err(error) = socket::set_unacknowledged_timeout(&self.stream, timeout) {
            log::debug!(error:% = error; "socket options could not be set");
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        if buf.filled().len() > before && this.caller.record_read() {
            this.end_sending();
        }
        result
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.start_sending();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.caller.record_write(&result);
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.start_sending();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.caller.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
