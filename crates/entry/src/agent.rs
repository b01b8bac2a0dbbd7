//! Dispatches to agents and reads the frames of their answers.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use clem_types::{Attempt, RequestId};
use clem_wire::{
    AgentMessage, CallError, Client, codec,
    dispatch::{Dispatch, Event, Fence, FenceReply, frame_codec},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Timeout of a fence call.
const FENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// The answer frames of one attempt. Dropping it closes the connection, which cancels the attempt
/// at the agent.
pub(crate) struct Frames {
    request: RequestId,
    attempt: Attempt,
    body: Incoming,
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
}

/// The next item of an answer.
pub(crate) enum Next {
    Event(Event),
    /// The answer ended or could not be decoded; it is incomplete unless an `End` event came
    /// before.
    Truncated,
}

/// Sends a dispatch and waits for the response head.
///
/// # Errors
/// See [`CallError`]; it tells whether the agent may have received the dispatch.
pub(crate) async fn send(
    client: &Client,
    address: SocketAddr,
    dispatch: &Dispatch,
) -> Result<Frames, CallError> {
    let bytes = codec::encode(dispatch).map_err(|error| CallError::NotSent(error.to_string()))?;
    let response = client
        .open(address, Dispatch::PATH, Bytes::from(bytes))
        .await?;
    Ok(Frames {
        request: dispatch.request,
        attempt: dispatch.attempt,
        body: response.into_body(),
        buffer: BytesMut::new(),
        codec: frame_codec(),
    })
}

impl Frames {
    /// Returns the next event of this attempt; frames of other requests and attempts are skipped.
    pub(crate) async fn next(&mut self) -> Next {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(frame)) => {
                    let Ok(message) = codec::decode::<AgentMessage>(&frame) else {
                        return Next::Truncated;
                    };
                    if message.request != self.request || message.attempt != self.attempt {
                        metrics::counter!("clem_entry_stray_frames").increment(1);
                        continue;
                    }
                    return Next::Event(message.event);
                }
                Ok(None) => {}
                Err(_) => return Next::Truncated,
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) | None => return Next::Truncated,
            }
        }
    }
}

/// Fences an attempt; true when the agent confirms that it had not started and never will.
pub(crate) async fn fence(
    client: &Client,
    address: SocketAddr,
    request: RequestId,
    attempt: Attempt,
) -> bool {
    let fence = Fence { request, attempt };
    match client.call(address, &fence, FENCE_TIMEOUT).await {
        Ok(FenceReply::NotStarted) => true,
        Ok(FenceReply::Started) | Err(_) => false,
    }
}

/// Whether the agent responds at all; probes it with a fence for attempt 0, which never exists, so
/// that nothing changes.
pub(crate) async fn is_alive(client: &Client, address: SocketAddr, request: RequestId) -> bool {
    let probe = Fence {
        request,
        attempt: Attempt(0),
    };
    client.call(address, &probe, FENCE_TIMEOUT).await.is_ok()
}
