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
    Stream(Receiver<Piece>),
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
            content: Content::Stream(pieces),
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
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.get_mut().content {
            Content::Whole(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never: Infallible| match never {}),
            Content::Stream(pieces) => Poll::Ready(match ready!(pieces.poll_recv(context)) {
                Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(full) => full.size_hint(),
            Content::Stream(_) => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(full) => full.is_end_stream(),
            Content::Stream(_) => false,
        }
    }
}
