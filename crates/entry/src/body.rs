//! Reads request bodies with size and time limits, and drains refused ones so that the connection
//! stays usable.

use std::time::Duration;

use bytes::Bytes;
use clem_intake::{BodyError, BodyLimits, read_body};
use http_body_util::BodyExt;
use salvo::http::{ReqBody, StatusCode};

use crate::{entry::Entry, refusal::Refusal};

/// The most bytes of a refused body that are drained to keep the connection open.
const DRAIN_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Time limit for draining a body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest wait for the next part of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for a whole body; enough for the longest one at 128 kbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(300);
/// How often a body is in memory while its request runs: as it was received, and encoded for the agent.
const BODY_COPIES: usize = 2;
/// Retry time of a body for which there was no room, in milliseconds.
const ROOM_RETRY_MS: u32 = 300;

type Result<T> = std::result::Result<T, Refusal>;

/// Reads a complete body, which holds room among the bodies of this process as long as its bytes are used. One that is
/// refused is drained.
pub(crate) async fn read(entry: &Entry, mut body: ReqBody, customer: &str) -> Result<Bytes> {
    let limits = BodyLimits {
        bytes: entry.max_body,
        idle: READ_TIMEOUT,
        total: BODY_TIMEOUT,
        copies: BODY_COPIES,
    };
    let read = read_body(&entry.bodies, &mut body, customer, limits, || entry.now()).await;
    match read {
        Ok((bytes, Some(place))) => Ok(place.attach(bytes)),
        Ok((bytes, None)) => Ok(bytes),
        Err(error) => {
            drain(body);
            Err(refusal(error, entry.max_body))
        }
    }
}

/// The refusal of a request whose body is not taken.
pub(crate) fn refusal(error: BodyError, limit: usize) -> Refusal {
    match error {
        BodyError::TooLong => Refusal::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            format!("the body is longer than {limit} bytes"),
        ),
        BodyError::Slow => slow(),
        BodyError::NoRoom => Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "body_room",
            "there is no room for the body now",
        )
        .retry(ROOM_RETRY_MS),
        BodyError::Broken => cut(),
    }
}

fn slow() -> Refusal {
    let message = "timed out reading the body";
    Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "body_slow", message)
}

fn cut() -> Refusal {
    Refusal::bad_request("body_cut", "the body ended unexpectedly")
}

/// Returns the next part of a body, `None` at its end. Trailers are skipped.
pub(crate) async fn next_part(body: &mut ReqBody) -> Result<Option<Bytes>> {
    loop {
        let frame = match tokio::time::timeout(READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(cut()),
            Ok(None) => return Ok(None),
            Err(_) => return Err(slow()),
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
