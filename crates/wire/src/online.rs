//! What entries and agents ask of the control leader for online requests: rate tokens, records
//! of calls that run at most once, and reports of crashes.

use clem_types::{BodyHash, CustomerId, HolderId, Incarnation, RequestId, RouteId, TargetId};
use serde::{Deserialize, Serialize};

use crate::{Call, dispatch::Header, sync::Verdict};

/// Asks for rate tokens; one token admits one request.
///
/// An answer that is lost costs the tokens until they expire, never more than the bound.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeTokens {
    /// Who asks.
    pub holder: HolderId,
    /// The asking process's life.
    pub incarnation: Incarnation,
    /// Counts the holder's calls, so that one that arrives twice is granted once.
    pub sequence: u64,
    /// What is wanted.
    pub wants: Vec<TokenRequest>,
}

/// What an entry wants for one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Tokens that are needed now or soon.
    pub tokens: u32,
    /// Tokens of earlier grants that are given back unspent.
    pub returned: u32,
    /// Tokens of earlier grants that the entry still holds; all others it has spent, given back
    /// or lost, so that the leader need not count them until they expire.
    #[serde(default)]
    pub held: u32,
}

impl Call for TakeTokens {
    const PATH: &'static str = "/internal/tokens";
    type Reply = TakeTokensReply;
}

/// The grants, one for each want and in the same order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeTokensReply {
    /// What was granted.
    pub grants: Vec<Grant>,
}

/// Tokens that an entry may spend until they expire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The customer.
    pub customer: CustomerId,
    /// How many tokens; fewer than wanted when the bucket is empty.
    pub tokens: u32,
    /// When they expire, in milliseconds since the entry asked.
    pub expires_ms: u32,
    /// When more will be there, in milliseconds, if fewer were granted than wanted.
    pub retry_ms: Option<u32>,
    /// Whether the leader is new and grants nothing yet; the entry asks again after `retry_ms`.
    #[serde(default)]
    pub settling: bool,
}

/// Records that a call which may run only once is about to be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceBegin {
    /// The customer; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// The route.
    pub route: RouteId,
    /// The caller's idempotency key.
    pub key: String,
    /// What the call's method, path and body hash to; another hash under the same key is refused.
    pub body: BodyHash,
    /// The request that wants to run it; the same request asking again gets the same answer.
    pub request: RequestId,
}

impl Call for OnceBegin {
    const PATH: &'static str = "/internal/once/begin";
    type Reply = OnceBeginReply;
}

/// Whether the call may be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceBeginReply {
    /// The asking request may dispatch it, once.
    Go,
    /// It ran before, with this result.
    Done(OnceResult),
    /// It was dispatched before and its outcome is not known, or it still runs.
    Unknown,
    /// The idempotency key stands for another call.
    Mismatch,
    /// There is no room for more records of this customer.
    Full,
}

/// The first result of a call that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceResult {
    /// The HTTP status.
    pub status: u16,
    /// The headers to relay.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Records the outcome of a call that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceFinish {
    /// The customer; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// The route.
    pub route: RouteId,
    /// The caller's idempotency key.
    pub key: String,
    /// The request that was told to go.
    pub request: RequestId,
    /// Its outcome.
    pub outcome: OnceOutcome,
}

/// How a call that runs at most once ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// It ran, with this result.
    Done(OnceResult),
    /// It certainly did not run: the record is dropped, and a resend may run it.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Call for OnceFinish {
    const PATH: &'static str = "/internal/once/finish";
    type Reply = OnceFinishReply;
}

/// The record has been kept; a result that came second changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceFinishReply {}

/// Says what was in flight when a target died.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrash {
    /// The target.
    pub target: TargetId,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// Counts the crashes that this life has seen, so that a report counts once.
    pub crash: u64,
    /// What was in flight.
    pub requests: Vec<InFlight>,
}

/// A request that was in flight at a crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Whose request it is.
    pub customer: Option<CustomerId>,
    /// What its body hashes to.
    pub body: BodyHash,
    /// Whether it was a suspect already.
    pub suspect: bool,
}

impl Call for ReportCrash {
    const PATH: &'static str = "/internal/crash";
    type Reply = ReportCrashReply;
}

/// What each request of the report counts as now, in the same order; none for a bystander.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrashReply {
    /// The verdicts.
    pub verdicts: Vec<Option<Verdict>>,
}
