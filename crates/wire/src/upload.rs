//! The body of a request, which tells when a piece of it was taken.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Instant,
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

/// When the connection took a piece of a body last.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress(Arc<Mutex<Option<Instant>>>);

impl Progress {
    /// When the last piece was taken; `None` before the first one.
    pub(crate) fn last(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
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
        self.taken.note();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
