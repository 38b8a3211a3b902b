use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::sync::mpsc::Receiver;

use super::caller::InFlight;

/// Body of an answer to a caller.
#[derive(Debug)]
pub(super) struct Answer {
    content: Content,
    /// Marks the caller's connection as busy until the answer is sent or dropped.
    _in_flight: Option<InFlight>,
}

#[derive(Debug)]
enum Content {
    Whole(Full<Bytes>),
    Stream {
        pieces: Receiver<Piece>,
        /// The stream broke off; what came before has been given the time to be sent.
        is_broken: bool,
    },
}

/// Part of a streamed answer.
#[derive(Debug)]
pub(super) enum Piece {
    /// Bytes to send.
    Data(Bytes),
    /// Proper end; a stream that stops without it must not look complete.
    End,
}

/// The stream broke off.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("stream broke off")]
pub(super) struct Truncated;

impl Answer {
    pub(super) fn whole(bytes: Bytes) -> Self {
        Self {
            content: Content::Whole(Full::new(bytes)),
            _in_flight: None,
        }
    }

    pub(super) const fn stream(pieces: Receiver<Piece>) -> Self {
        Self {
            content: Content::Stream {
                pieces,
                is_broken: false,
            },
            _in_flight: None,
        }
    }

    pub(super) fn with_guard(self, in_flight: InFlight) -> Self {
        Self {
            _in_flight: Some(in_flight),
            ..self
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.get_mut().content {
            Content::Whole(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Content::Stream { pieces, is_broken } => {
                Poll::Ready(match ready!(pieces.poll_recv(cx)) {
                    Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(Piece::End) => None,
                    None if *is_broken => Some(Err(Truncated)),
                    None => {
                        // An error drops what is buffered; the server sends it while it waits.
                        *is_broken = true;
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                })
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(full) => full.size_hint(),
            Content::Stream { .. } => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(full) => full.is_end_stream(),
            Content::Stream { .. } => false,
        }
    }
}
