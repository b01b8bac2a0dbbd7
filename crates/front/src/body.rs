//! Response bodies for callers: complete ones, and ones that are relayed as they arrive.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use clem_boot::Clock;
use clem_intake::BodyPlace;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::caller::CallerLink;

/// Part of a counted body that the connection takes at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

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

/// A complete body that counts as held until the caller's connection has taken all of it.
pub(crate) struct CountedBody {
    rest: Bytes,
    place: BodyPlace,
    clock: Clock,
}

impl CountedBody {
    pub(crate) fn new(bytes: &Bytes, place: BodyPlace, clock: Clock) -> Self {
        place.respond(clock.now());
        Self {
            // Without the spare capacity of the buffer in which it was built.
            rest: Bytes::copy_from_slice(bytes),
            place,
            clock,
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        if !self.place.progress(self.clock.now()) {
            return Poll::Ready(Some(Err(Truncated)));
        }
        // A copy, as the connection may keep the last pieces for long, and a part of the body would keep all of it.
        let size = self.rest.len().min(PIECE_BYTES);
        let piece = Bytes::copy_from_slice(&self.rest[..size]);
        self.rest.advance(size);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// A part of a response that is relayed as it arrives.
#[derive(Debug)]
pub(crate) enum Part {
    /// The next bytes.
    Data(Bytes),
    /// The end of the response. A channel that closes without it is a truncated response.
    End,
}

/// A body that is relayed as it arrives.
pub(crate) struct RelayedBody {
    parts: mpsc::Receiver<Part>,
    /// Bytes still expected; `None` if the target sent no length.
    left: Option<u64>,
    /// The connection whose plain end is the end of the response; `None` if its framing marks the end.
    link: Option<CallerLink>,
}

impl RelayedBody {
    pub(crate) fn new(
        parts: mpsc::Receiver<Part>,
        length: Option<u64>,
        link: Option<CallerLink>,
    ) -> Self {
        if let Some(link) = &link {
            link.reset_at_end();
        }
        Self {
            parts,
            left: length,
            link,
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
        let Poll::Ready(part) = self.parts.poll_recv(cx) else {
            return Poll::Pending;
        };
        Poll::Ready(match part {
            Some(Part::Data(bytes)) => {
                if let Some(left) = &mut self.left {
                    *left = left.saturating_sub(bytes.len() as u64);
                }
                Some(Ok(Frame::data(bytes)))
            }
            Some(Part::End) => {
                if let Some(link) = &self.link {
                    link.close_at_end();
                }
                None
            }
            None => Some(Err(Truncated)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        match self.left {
            Some(left) => SizeHint::with_exact(left),
            None => SizeHint::default(),
        }
    }
}
