use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use ragwortgrade_policy::gateway::Holding;
use tokio::sync::mpsc::Receiver;

use super::caller_connection::RequestGuard;
use super::held_bytes::HeldBytes;
use super::memory_account::MemoryAccount;

/// Longest piece of complete bytes that is handed to the server at once. The server takes further
/// pieces only as the caller reads.
const PIECE_BYTES: usize = 16 << 10;

/// Body of a response to a caller: complete bytes or a stream.
#[derive(Debug)]
pub(super) struct ResponseBody {
    content: Content,
    /// Marks the caller's connection as busy until the response is sent or dropped.
    _guard: Option<RequestGuard>,
    /// Memory that complete bytes hold until they are sent.
    memory: Option<Rc<MemoryAccount>>,
}

#[derive(Debug)]
enum Content {
    Full(Bytes),
    Stream {
        chunks: Receiver<Chunk>,
        /// Whether the truncation of the stream was detected, after which the server gets one poll
        /// to flush the chunks before it.
        is_truncated: bool,
    },
}

/// Element of a streamed response.
#[derive(Debug)]
pub(super) enum Chunk {
    /// Bytes of the body.
    Data(HeldBytes),
    /// End of a complete stream. If the channel closes without it, the connection is aborted, so
    /// that the response does not look complete.
    End,
}

/// The stream ended before the endpoint completed it.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response stream truncated")]
pub(super) struct Truncated;

impl ResponseBody {
    pub(super) fn full(bytes: Bytes) -> Self {
        Self {
            content: Content::Full(bytes),
            _guard: None,
            memory: None,
        }
    }

    pub(super) const fn stream(chunks: Receiver<Chunk>) -> Self {
        Self {
            content: Content::Stream {
                chunks,
                is_truncated: false,
            },
            _guard: None,
            memory: None,
        }
    }

    /// Counts complete bytes in this account until they are sent.
    pub(super) fn with_memory(self, memory: Rc<MemoryAccount>) -> Self {
        memory.set_holding(Holding::Unread);
        Self {
            memory: Some(memory),
            ..self
        }
    }

    pub(super) fn with_guard(self, guard: RequestGuard) -> Self {
        Self {
            _guard: Some(guard),
            ..self
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let this = self.get_mut();
        match &mut this.content {
            Content::Full(rest) => {
                if let Some(memory) = &this.memory {
                    memory.set_holding(Holding::Unread);
                }
                Poll::Ready(next_piece(rest).map(|piece| Ok(Frame::data(piece))))
            }
            Content::Stream {
                chunks,
                is_truncated,
            } => {
                Poll::Ready(match ready!(chunks.poll_recv(cx)) {
                    Some(Chunk::Data(held)) => Some(Ok(Frame::data(held.release()))),
                    Some(Chunk::End) => None,
                    None if *is_truncated => Some(Err(Truncated)),
                    None => {
                        // On an error the server drops its write buffer; returning `Pending` once
                        // lets it flush.
                        *is_truncated = true;
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                })
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(rest) => SizeHint::with_exact(rest.len() as u64),
            Content::Stream { .. } => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(rest) => rest.is_empty(),
            Content::Stream { .. } => false,
        }
    }
}

/// Takes the next piece. Pieces of long bytes are copies, so that what waits in the server's buffer does
/// not keep all of them in memory.
fn next_piece(rest: &mut Bytes) -> Option<Bytes> {
    if rest.is_empty() {
        return None;
    }
    if rest.len() <= PIECE_BYTES {
        let last = std::mem::take(rest);
        return Some(if last.is_unique() {
            last
        } else {
            Bytes::copy_from_slice(&last)
        });
    }
    let piece = rest.split_to(PIECE_BYTES);
    Some(Bytes::copy_from_slice(&piece))
}
