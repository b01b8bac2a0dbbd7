//! The body of a request, which tells how much of it has been taken.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The size of a piece, in bytes. Most requests are smaller, and are sent as one.
const PIECE_BYTES: usize = 64 * 1024;

/// A body that is sent in pieces, as fast as the connection takes them.
#[derive(Debug)]
pub(crate) struct Upload {
    rest: Bytes,
    taken: Progress,
}

/// How much of a body the connection has taken.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// The bytes that were taken.
    pub(crate) fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Upload {
    pub(crate) fn new(body: Bytes) -> Self {
        Self {
            rest: body,
            taken: Progress::default(),
        }
    }

    pub(crate) fn progress(&self) -> Progress {
        self.taken.clone()
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let count = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(count);
        self.taken.0.fetch_add(count, Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
