//! The body of a response that tells its connection when it ends.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use hyper::body::{Body, Frame, SizeHint};

use crate::ConnectionPlace;

/// The body of a response that tells its connection when it ends.
pub struct LinkedBody<B> {
    body: B,
    place: Arc<ConnectionPlace>,
}

impl<B> LinkedBody<B> {
    /// Links a body to the connection that it is sent on.
    pub fn new(body: B, place: Arc<ConnectionPlace>) -> Self {
        Self { body, place }
    }
}

impl<B: Body + Unpin> Body for LinkedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for LinkedBody<B> {
    fn drop(&mut self) {
        self.place.end_response();
    }
}
