//! Reads the bodies of requests.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_policy::bodies::OPEN_BYTES;
use clem_types::Time;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::{BodyError, BodyPlace, BodyStore, Result};

/// First size of a body's buffer, in bytes, which then doubles.
const BUFFER_BYTES: usize = 8 * 1024;

/// The limits on one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub bytes: usize,
    /// How long a caller may send nothing.
    pub idle: Duration,
    /// Time for the whole body.
    pub total: Duration,
    /// How often the complete body is in memory while its request is worked on.
    pub copies: usize,
}

/// Reads a body; it holds its place until the place is dropped.
///
/// # Errors
/// The body exceeds a limit, or its caller disconnected.
pub async fn read_body<B>(
    store: &Arc<BodyStore>,
    body: B,
    customer: &str,
    limits: BodyLimits,
    now: impl Fn() -> Time,
) -> Result<(Bytes, Option<BodyPlace>)>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let place = store.open(now(), customer);
    let read = tokio::select! {
        read = tokio::time::timeout(limits.total, collect(&place, body, limits, &now)) => {
            read.unwrap_or(Err(BodyError::Slow))
        }
        () = place.dropped() => Err(BodyError::NoRoom),
    };
    match read {
        Ok(bytes) => Ok((bytes, Some(place))),
        Err(error) => {
            drop(place);
            store.count(now(), error, customer);
            Err(error)
        }
    }
}

async fn collect<B>(
    place: &BodyPlace,
    mut body: B,
    limits: BodyLimits,
    now: &impl Fn() -> Time,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let hint = body.size_hint();
    let limit = u64::try_from(limits.bytes).unwrap_or(u64::MAX);
    if hint.lower() > limit {
        return Err(BodyError::TooLong);
    }
    let length = hint.exact().and_then(|length| usize::try_from(length).ok());
    let largest = length.unwrap_or(limits.bytes);
    if !place.grow(now(), OPEN_BYTES) {
        return Err(BodyError::NoRoom);
    }
    let mut buffer = Vec::new();
    loop {
        let frame = match tokio::time::timeout(limits.idle, body.frame()).await {
            Err(_) => return Err(BodyError::Slow),
            Ok(None) => break,
            // The caller disconnected or sent invalid HTTP.
            Ok(Some(Err(_))) => return Err(BodyError::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let wanted = buffer.len() + data.len();
        if wanted > limits.bytes {
            return Err(BodyError::TooLong);
        }
        if wanted > buffer.capacity() {
            let doubled = (buffer.capacity() * 2).max(BUFFER_BYTES);
            let size = doubled.min(largest).max(wanted);
            if !place.take(now(), OPEN_BYTES + size).await {
                return Err(BodyError::NoRoom);
            }
            buffer.reserve_exact(size - buffer.len());
        }
        if !data.is_empty() && !place.progress(now()) {
            return Err(BodyError::NoRoom);
        }
        buffer.extend_from_slice(&data);
    }
    buffer.shrink_to_fit();
    let bytes = buffer.len().saturating_mul(limits.copies);
    if !place.take(now(), bytes).await || !place.complete(bytes) {
        return Err(BodyError::NoRoom);
    }
    Ok(Bytes::from(buffer))
}
