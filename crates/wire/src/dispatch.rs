//! What an entry sends to an agent, and the frames that come back.
//!
//! A [`Dispatch`] is posted to [`Dispatch::PATH`]. The response body is a sequence of frames,
//! each a length of four bytes in network order and an [`AgentMessage`] in MessagePack (the
//! frame format of `tokio_util::codec::LengthDelimitedCodec`). A whole answer ends with
//! [`Event::End`]; a body that ends without it was cut. See `docs/DESIGN.md`, "Whole answers".

use bytes::{Bytes, BytesMut};
use clem_types::{
    Attempt, BodyHash, CustomerId, Incarnation, KeyId, RequestId, RouteId, RulesVersion, Tokens,
};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

use crate::{Call, MAX_MESSAGE_BYTES, codec, sync::Load};

/// A caller's request on its way to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// How often it has been dispatched, counting this time.
    pub attempt: Attempt,
    /// The agent's life that the entry means; another one refuses as not run.
    pub incarnation: Incarnation,
    /// The customer that the request runs for; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// The key that came with the request; none on an open route without a key.
    pub key: Option<KeyId>,
    /// The route that was asked for.
    pub route: RouteId,
    /// The rules that the entry decided by.
    pub rules: RulesVersion,
    /// Whether the request may be run again after a failure.
    pub idempotent: bool,
    /// Whether the request was in flight at a crash and must run apart from other suspects.
    pub suspect: bool,
    /// The time that is left for the request, in milliseconds.
    pub deadline_ms: u32,
    /// The estimated cost, for the fair queue.
    pub cost: Tokens,
    /// Continue after this many tokens that were already relayed.
    pub resume: Option<Tokens>,
    /// What the body hashes to, to know it again after a crash.
    pub body_hash: BodyHash,
    /// What to ask of the target.
    pub call: TargetCall,
}

impl Dispatch {
    /// The path that a dispatch is posted to.
    pub const PATH: &'static str = "/internal/dispatch";
}

/// An HTTP request for a target, free of the caller's key and of internal headers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetCall {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to send.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes_compat")]
    pub body: Bytes,
    /// Whether the answer is a stream of tokens.
    pub stream: bool,
}

/// An HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name in lower case.
    pub name: String,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// One frame of an agent's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentMessage {
    /// The request that this belongs to; a frame of another one is dropped.
    pub request: RequestId,
    /// The attempt that this belongs to; a frame of another one is dropped.
    pub attempt: Attempt,
    /// What happened.
    pub event: Event,
}

/// What happened to a dispatched request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// It left the agent's queue for the target; from here on it may have run.
    Started,
    /// The target's status and headers.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers to relay.
        headers: Vec<Header>,
    },
    /// One token of a stream.
    Token {
        /// The token's place in the whole answer, from 0.
        index: u32,
        /// The event's data as the engine sent it.
        data: String,
    },
    /// A part of an answer that is not a token stream.
    Data(#[serde(with = "serde_bytes_compat")] Bytes),
    /// The answer is whole.
    End {
        /// How busy the target is now.
        load: Load,
    },
    /// It was not run and never will be under this attempt.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When coming back helps, in milliseconds.
        retry_ms: Option<u32>,
        /// How busy the target is now.
        load: Load,
    },
    /// It failed after it had started.
    Failed {
        /// Why.
        reason: FailedReason,
    },
}

/// Why an agent did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The agent holds no lease on the rules.
    NoLease,
    /// The key, customer or route does not stand in the agent's rules.
    NotAllowed,
    /// The dispatch means an earlier life of the agent.
    OldIncarnation,
    /// The target takes no new work.
    Draining,
    /// The target is not reached.
    TargetDown,
    /// The queue is full.
    Overloaded,
    /// The deadline passed in the queue.
    DeadlinePassed,
    /// The entry fenced the attempt.
    Fenced,
    /// The model or service is not there.
    NotServed,
    /// Another suspect runs on this target.
    SuspectBusy,
}

/// Why a started request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailedReason {
    /// The target died or dropped the connection.
    TargetLost,
    /// The deadline passed.
    DeadlinePassed,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The answer was not well formed.
    BadAnswer,
}

/// Stops an attempt from starting; also cancels one that runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The request.
    pub request: RequestId,
    /// The attempt and all before it.
    pub attempt: Attempt,
}

impl Call for Fence {
    const PATH: &'static str = "/internal/fence";
    type Reply = FenceReply;
}

/// Whether the fenced attempt had started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// It had not started and never will.
    NotStarted,
    /// It had started; it has been cancelled.
    Started,
}

/// The codec of the frames, for both sides.
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

/// Byte strings as MessagePack binary rather than as lists of numbers.
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
