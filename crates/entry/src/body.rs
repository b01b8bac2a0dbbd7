//! Callers' request bodies: read in bounds, or passed over so that the connection stays usable.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use salvo::http::{ReqBody, StatusCode};

use crate::refusal::Refusal;

/// How much of a refused body is passed over to keep the connection.
const DRAIN_MAX: usize = 64 * 1024 * 1024;
/// How long passing over may take.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest pause inside a body.
const PAUSE_MAX: Duration = Duration::from_secs(30);

type Result<T> = std::result::Result<T, Refusal>;

/// Reads a whole body of at most `limit` bytes. The rest of one that is longer is passed over.
pub(crate) async fn read(mut body: ReqBody, limit: usize) -> Result<Bytes> {
    let mut whole = BytesMut::new();
    loop {
        let part = match next_part(&mut body).await {
            Ok(Some(part)) => part,
            Ok(None) => return Ok(whole.freeze()),
            Err(refusal) => return Err(refusal),
        };
        if whole.len() + part.len() > limit {
            drain(body);
            let message = format!("the body is longer than {limit} bytes");
            return Err(Refusal::no(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                message,
            ));
        }
        whole.extend_from_slice(&part);
    }
}

/// The next part of a body; none at its end. Trailers are passed over.
pub(crate) async fn next_part(body: &mut ReqBody) -> Result<Option<Bytes>> {
    loop {
        let frame = match tokio::time::timeout(PAUSE_MAX, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                return Err(Refusal::bad_request("body_cut", "the body ended too early"));
            }
            Ok(None) => return Ok(None),
            Err(_) => {
                let message = "the body paused for too long";
                return Err(Refusal::no(
                    StatusCode::REQUEST_TIMEOUT,
                    "body_slow",
                    message,
                ));
            }
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Reads on in the background and drops what comes, so that the answer goes out at once and the
/// connection can be used again.
pub(crate) fn drain(mut body: ReqBody) {
    tokio::spawn(async move {
        let all = async {
            let mut passed = 0;
            while let Some(Ok(frame)) = body.frame().await {
                passed += frame.data_ref().map_or(0, Bytes::len);
                if passed > DRAIN_MAX {
                    break;
                }
            }
        };
        // Whatever is left after that closes the connection.
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
    });
}
