//! Bodies of responses to callers.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The error of a stream that ended without [`Piece::End`]. This error makes hyper close the caller's connection
/// without the end of the body, so that the caller does not take the response for complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response stream ended before it was complete")]
pub struct StreamAborted;

/// The body of a response to a caller.
pub enum AnswerBody {
    /// The complete body; `None` when it is empty or already sent.
    Whole(Option<Bytes>),
    /// Pieces of a body that is still being produced. The body is complete only if its last piece is [`Piece::End`].
    Stream(mpsc::Receiver<Piece>),
}

/// A piece of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The next bytes of the body.
    Data(Bytes),
    /// Marks the body as complete. A stream that ends without this piece fails with [`StreamAborted`].
    End,
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces) => pieces.poll_recv(context).map(|piece| match piece {
                Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => None,
                None => Some(Err(StreamAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
