//! How responses mark the end of their bodies.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use clem_edge::Framing;
use http::{HeaderMap, HeaderValue, header};
use http_body::{Body, Frame};

/// A body of unknown length.
struct Unknown;

impl Body for Unknown {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(None)
    }
}

fn framing(encodings: &[&'static str]) -> Framing {
    let mut headers = HeaderMap::new();
    for encoding in encodings {
        headers.append(
            header::TRANSFER_ENCODING,
            HeaderValue::from_static(encoding),
        );
    }
    Framing::of(&headers, &Unknown)
}

#[test]
fn a_response_in_another_transfer_encoding_ends_with_its_connection() {
    for encodings in [&["identity"][..], &["chunked, gzip"], &["chunked", "gzip"]] {
        assert_eq!(framing(encodings), Framing::Close, "{encodings:?}");
    }
    for encodings in [&["Chunked"][..], &["gzip, chunked"], &["gzip", "chunked"]] {
        assert_eq!(framing(encodings), Framing::Chunked, "{encodings:?}");
    }
    assert_eq!(framing(&[]), Framing::Close);
}
