//! Response bodies for callers: complete ones, and ones that are relayed as they arrive.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The body of a response.
pub(crate) type AnswerBody = BoxBody<Bytes, CutOff>;

/// The response was truncated. The connection is closed without the end of the body, so that the
/// caller doesn't take a part for the whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CutOff;

impl fmt::Display for CutOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut off")
    }
}

impl std::error::Error for CutOff {}

impl From<Infallible> for CutOff {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A complete body.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(CutOff::from).boxed()
}

/// A body that is relayed as it arrives.
pub(crate) struct Relayed {
    pieces: mpsc::Receiver<Result<Bytes, CutOff>>,
    /// Bytes still expected; `None` if the target sent no length.
    left: Option<u64>,
}

impl Relayed {
    pub(crate) fn new(pieces: mpsc::Receiver<Result<Bytes, CutOff>>, length: Option<u64>) -> Self {
        Self {
            pieces,
            left: length,
        }
    }
}

impl Body for Relayed {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        let Poll::Ready(piece) = self.pieces.poll_recv(cx) else {
            return Poll::Pending;
        };
        if let (Some(left), Some(Ok(bytes))) = (&mut self.left, &piece) {
            *left = left.saturating_sub(bytes.len() as u64);
        }
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        match self.left {
            Some(left) => SizeHint::with_exact(left),
            None => SizeHint::default(),
        }
    }
}
