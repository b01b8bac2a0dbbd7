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
pub(crate) type ResponseBody = BoxBody<Bytes, Truncated>;

/// The response was truncated. The connection is closed without the end of the body, so that the
/// caller doesn't mistake a partial body for the complete one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was truncated")
    }
}

impl std::error::Error for Truncated {}

impl From<Infallible> for Truncated {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A complete body.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(Truncated::from).boxed()
}

/// A body that is relayed as it arrives.
pub(crate) struct RelayedBody {
    chunks: mpsc::Receiver<Result<Bytes, Truncated>>,
    /// Bytes still expected; `None` if the target sent no length.
    left: Option<u64>,
}

impl RelayedBody {
    pub(crate) fn new(
        chunks: mpsc::Receiver<Result<Bytes, Truncated>>,
        length: Option<u64>,
    ) -> Self {
        Self {
            chunks,
            left: length,
        }
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let Poll::Ready(chunk) = self.chunks.poll_recv(cx) else {
            return Poll::Pending;
        };
        if let (Some(left), Some(Ok(bytes))) = (&mut self.left, &chunk) {
            *left = left.saturating_sub(bytes.len() as u64);
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        match self.left {
            Some(left) => SizeHint::with_exact(left),
            None => SizeHint::default(),
        }
    }
}
