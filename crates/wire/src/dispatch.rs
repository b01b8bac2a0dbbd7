//! Dispatch of a request from an entry to an agent, and the frames of the answer.
//!
//! A [`Dispatch`] is posted to [`Dispatch::PATH`]. The response body is a sequence of frames, each
//! a length of four bytes in network order and an [`AgentMessage`] in MessagePack (the frame format
//! of `tokio_util::codec::LengthDelimitedCodec`). A complete answer ends with [`Event::End`]; a
//! body without it was truncated. See `docs/DESIGN.md`, "Messages".

use bytes::{Bytes, BytesMut};
use clem_types::{
    Attempt, BodyHash, CustomerId, Incarnation, KeyId, RequestId, RouteId, Tokens, Version,
};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

use crate::{Call, MAX_MESSAGE_BYTES, codec, sync::Load};

/// A caller's request, as an entry sends it to a target's agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identifies the request across all its attempts.
    pub request: RequestId,
    /// The number of this attempt, counted from 1.
    pub attempt: Attempt,
    /// The agent's incarnation that the entry knows; another one rejects the dispatch.
    pub incarnation: Incarnation,
    /// The customer who sent the request; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// The API key of the request; none on an open route without a key.
    pub key: Option<KeyId>,
    /// The route that the request matched.
    pub route: RouteId,
    /// The version of the rules that the entry applied.
    pub rules: Version,
    /// Whether the request may be run again after a failure.
    pub idempotent: bool,
    /// Whether the request was in flight at a crash and must not run together with other suspects.
    pub suspect: bool,
    /// Time until the request's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Estimated cost, for the agent's fair queue.
    pub cost: Tokens,
    /// Number of tokens that were already relayed to the caller, after which the answer continues;
    /// none for a new answer.
    pub resume: Option<Tokens>,
    /// Hash of the body, which identifies the request in crash reports.
    pub body_hash: BodyHash,
    /// The HTTP request to send to the target.
    pub call: TargetCall,
}

impl Dispatch {
    /// The path that a dispatch is posted to.
    pub const PATH: &'static str = "/internal/dispatch";
}

/// An HTTP request for a target, without the caller's key and internal headers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetCall {
    /// The HTTP method, such as `POST`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The request headers that the target should get.
    pub headers: Vec<Header>,
    /// The complete body.
    #[serde(with = "serde_bytes_compat")]
    pub body: Bytes,
    /// Whether the answer is a stream of tokens.
    pub stream: bool,
}

/// An HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value, which need not be UTF-8.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// One frame of an agent's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentMessage {
    /// The request that the frame belongs to; frames of other requests are discarded.
    pub request: RequestId,
    /// The attempt that the frame belongs to; frames of other attempts are discarded.
    pub attempt: Attempt,
    /// The progress that the frame reports.
    pub event: Event,
}

/// An event in the processing of a dispatched request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The request was sent to the target; from now on it may have run.
    Started,
    /// The head of the target's response.
    Head {
        /// The HTTP status of the response.
        status: u16,
        /// The response headers to relay to the caller.
        headers: Vec<Header>,
    },
    /// One token of a streamed answer.
    Token {
        /// The token's index in the complete answer, counted from 0.
        index: u32,
        /// The data of the server-sent event, as the engine sent it.
        data: String,
    },
    /// A part of the body of an answer that is not a token stream.
    Data(#[serde(with = "serde_bytes_compat")] Bytes),
    /// The answer is complete.
    End {
        /// The target's load after this request.
        load: Load,
    },
    /// The attempt did not run and never will.
    NotRun {
        /// Why the agent did not run it.
        reason: NotRunReason,
        /// After how many milliseconds a retry may succeed, if the agent can tell.
        retry_ms: Option<u32>,
        /// The target's load at this time.
        load: Load,
    },
    /// The request failed after it had been sent to the target.
    Failed {
        /// Why the request failed.
        reason: FailedReason,
    },
}

/// Why an agent did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The agent holds no lease on the rules.
    NoLease,
    /// The agent's rules don't contain the key, customer or route.
    NotAllowed,
    /// The dispatch is for an earlier incarnation of the agent.
    OldIncarnation,
    /// The target accepts no new work.
    Draining,
    /// The target is unreachable.
    TargetDown,
    /// The agent's queue is full.
    Overloaded,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// The entry fenced the attempt before it started.
    Fenced,
    /// The target doesn't serve the model or service.
    NotServed,
    /// The request is poison, or a suspect while another suspect is running on this target.
    SuspectBusy,
}

/// Why a started request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailedReason {
    /// The target crashed or closed the connection.
    TargetLost,
    /// The deadline passed while the request was running.
    DeadlinePassed,
    /// The API key was revoked while the request was running.
    KeyWithdrawn,
    /// The target's answer was malformed.
    BadAnswer,
}

/// Prevents attempts of a request from starting, and cancels a running one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The request to fence.
    pub request: RequestId,
    /// The last attempt to fence; all earlier ones are fenced as well.
    pub attempt: Attempt,
}

impl Call for Fence {
    const PATH: &'static str = "/internal/fence";
    type Reply = FenceReply;
}

/// Whether the fenced attempt had started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// The attempt had not started and never will.
    NotStarted,
    /// The attempt had started and has been cancelled.
    Started,
}

/// The codec for the frames of an answer, for both client and server.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// Encodes a message as one frame.
///
/// # Errors
/// The message is longer than [`MAX_MESSAGE_BYTES`] or can't be encoded.
pub fn encode_frame(message: &AgentMessage) -> std::io::Result<Bytes> {
    let bytes = codec::encode(message).map_err(std::io::Error::other)?;
    let mut frame = BytesMut::new();
    frame_codec().encode(Bytes::from(bytes), &mut frame)?;
    Ok(frame.freeze())
}

/// Serialises [`Bytes`](bytes::Bytes) as MessagePack binary instead of an array of integers.
mod serde_bytes_compat {
    use bytes::Bytes;
    use serde::{Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, out: S) -> Result<S::Ok, S::Error> {
        serde_bytes::serialize(bytes.as_ref(), out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        serde_bytes::deserialize::<Vec<u8>, D>(from).map(Bytes::from)
    }
}
