use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of all heads of one response, the informational (1xx) ones included, in bytes. It
/// exceeds the buffer of a connection, since the first bytes of the body arrive with the head.
const HEADS_BYTES_MAX: usize = 4 * super::client::BUFFER_BYTES_MAX;

/// Limits what is read from a connection until the head of a response is complete.
///
/// `hyper` limits a single head but skips any number of informational ones, and does so without
/// yielding to other tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Starts to limit: a request is sent.
    pub(super) fn start(&self) {
        self.0.set(Some(HEADS_BYTES_MAX));
    }

    /// Stops limiting: the head of the response is complete.
    pub(super) fn stop(&self) {
        self.0.set(None);
    }

    /// Returns the stream with this limit.
    pub(super) const fn apply(self, stream: TcpStream) -> LimitedStream {
        LimitedStream {
            stream,
            limit: self,
        }
    }

    fn record_read(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else {
            return Ok(());
        };
        let Some(left) = left.checked_sub(bytes) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "heads of the response are too long",
            ));
        };
        self.0.set(Some(left));
        Ok(())
    }
}

/// A stream whose reads fail beyond a [`HeadLimit`].
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.limit.record_read(buf.filled().len() - filled))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
