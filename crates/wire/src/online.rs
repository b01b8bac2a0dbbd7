//! Calls to the control leader for online requests: rate tokens and records of at-most-once calls
//! from entries, and crash reports from agents.

use clem_types::{BodyHash, CustomerId, HolderId, Incarnation, RequestId, RouteId, TargetId};
use serde::{Deserialize, Serialize};

use crate::{Call, dispatch::Header, sync::Verdict};

/// Asks for rate tokens; one token admits one request.
///
/// If the reply is lost, its tokens stay unused until they expire, so the rate limit is never
/// exceeded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeTokens {
    /// The entry that asks.
    pub holder: HolderId,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the call within the incarnation, so that a resent call is granted no
    /// further tokens.
    pub sequence: u64,
    /// The requested tokens, one value per customer.
    pub wants: Vec<TokenRequest>,
}

/// An entry's request for one customer's tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The customer whose requests need the tokens.
    pub customer: CustomerId,
    /// Number of tokens that are needed now or soon.
    pub tokens: u32,
    /// Number of unspent tokens of earlier grants that are returned.
    pub returned: u32,
    /// Number of tokens of earlier grants that the entry still holds. All others were spent,
    /// returned or lost, so the leader need not count them until they expire.
    #[serde(default)]
    pub held: u32,
}

impl Call for TakeTokens {
    const PATH: &'static str = "/internal/tokens";
    type Reply = TakeTokensReply;
}

/// The reply to [`TakeTokens`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeTokensReply {
    /// The grants, one per request and in the same order.
    pub grants: Vec<Grant>,
}

/// Tokens that an entry may spend until they expire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The customer whose requests the tokens admit.
    pub customer: CustomerId,
    /// Number of granted tokens, which is less than requested if the bucket is empty.
    pub tokens: u32,
    /// When the tokens expire, in milliseconds since the entry sent the call.
    pub expires_ms: u32,
    /// If fewer tokens were granted than requested: when more will be available, in milliseconds.
    pub retry_ms: Option<u32>,
    /// Whether the leader is new and doesn't grant tokens yet; the entry asks again after
    /// `retry_ms`.
    #[serde(default)]
    pub settling: bool,
}

/// Records that an at-most-once call is about to be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceBegin {
    /// The customer who sent the call; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// The route of the call, within which the idempotency key is unique.
    pub route: RouteId,
    /// The caller's idempotency key.
    pub key: String,
    /// Hash of the call's method, path and body; a call with the same key but another hash is
    /// rejected.
    pub body: BodyHash,
    /// The request that asks; if it repeats the call, it gets the same reply.
    pub request: RequestId,
}

impl Call for OnceBegin {
    const PATH: &'static str = "/internal/once/begin";
    type Reply = OnceBeginReply;
}

/// Whether the call may be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceBeginReply {
    /// The request may dispatch the call, once.
    Go,
    /// The call has already run, with this result.
    Done(OnceResult),
    /// The call was already dispatched, and is still running or has an unknown outcome.
    Unknown,
    /// The idempotency key was used for a different call.
    Mismatch,
    /// The customer has too many records, or the key is too long.
    Full,
}

/// The stored result of an at-most-once call, returned to resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceResult {
    /// The HTTP status of the response.
    pub status: u16,
    /// The response headers to relay to the caller.
    pub headers: Vec<Header>,
    /// The complete body of the response.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Records the outcome of an at-most-once call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceFinish {
    /// The customer, as in the [`OnceBegin`].
    pub customer: Option<CustomerId>,
    /// The route, as in the [`OnceBegin`].
    pub route: RouteId,
    /// The idempotency key, as in the [`OnceBegin`].
    pub key: String,
    /// The request that dispatched the call; outcomes of other requests are ignored.
    pub request: RequestId,
    /// Whether the call ran, and its result.
    pub outcome: OnceOutcome,
}

/// The outcome of an at-most-once call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The call ran, with this result.
    Done(OnceResult),
    /// The call certainly did not run: its record is dropped, and a resend may run it.
    NotRun,
    /// The call may or may not have run.
    Unknown,
}

impl Call for OnceFinish {
    const PATH: &'static str = "/internal/once/finish";
    type Reply = OnceFinishReply;
}

/// Confirms that the outcome was recorded, or ignored because the call already had one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceFinishReply {}

/// Reports which requests were in flight when a target crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrash {
    /// The target that crashed.
    pub target: TargetId,
    /// The incarnation of the target's agent.
    pub incarnation: Incarnation,
    /// Number of the crash within the incarnation, so that a resent report counts once.
    pub crash: u64,
    /// The requests and batch items that were in flight.
    pub requests: Vec<InFlight>,
}

/// A request that was in flight at a crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The customer who sent it; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// Hash of the request body.
    pub body: BodyHash,
    /// Whether the agent already knew the request as a suspect.
    pub suspect: bool,
}

impl Call for ReportCrash {
    const PATH: &'static str = "/internal/crash";
    type Reply = ReportCrashReply;
}

/// The verdicts after a crash report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrashReply {
    /// The verdict on each reported request, in the same order; `None` if it is not suspected.
    pub verdicts: Vec<Option<Verdict>>,
}
