//! Reads request bodies with size and time limits, and drains refused ones so that the connection
//! stays usable.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use salvo::http::{ReqBody, StatusCode};

use crate::refusal::Refusal;

/// The most bytes of a refused body that are drained to keep the connection open.
const DRAIN_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Time limit for draining a body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest wait for the next part of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

type Result<T> = std::result::Result<T, Refusal>;

/// Reads a complete body of at most `limit` bytes; the rest of a longer one is drained.
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
            return Err(Refusal::not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                message,
            ));
        }
        whole.extend_from_slice(&part);
    }
}

/// Returns the next part of a body, `None` at its end. Trailers are skipped.
pub(crate) async fn next_part(body: &mut ReqBody) -> Result<Option<Bytes>> {
    loop {
        let frame = match tokio::time::timeout(READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                return Err(Refusal::bad_request(
                    "body_cut",
                    "the body ended unexpectedly",
                ));
            }
            Ok(None) => return Ok(None),
            Err(_) => {
                let message = "timed out reading the body";
                return Err(Refusal::not_run(
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

/// Drains a body in the background, so that the answer is sent at once and the connection can be
/// used again.
pub(crate) fn drain(mut body: ReqBody) {
    tokio::spawn(async move {
        let all = async {
            let mut drained = 0;
            while let Some(Ok(frame)) = body.frame().await {
                drained += frame.data_ref().map_or(0, Bytes::len);
                if drained > DRAIN_MAX_BYTES {
                    break;
                }
            }
        };
        // The connection is closed if anything is left after that.
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
    });
}
