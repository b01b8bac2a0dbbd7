//! Batch calls to the control leader: upload, status, cancellation and results from entries, and
//! item leases from agents. See `docs/design/control.md`, "Batches".

use clem_types::{
    Attempt, BatchId, BodyHash, CustomerId, HolderId, Incarnation, ItemIndex, KeyId, RouteId,
    ServiceId, Tokens, UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::{
    Call,
    sync::{ItemRef, LoadedModel},
};

/// Starts an upload; the batch is not accepted until it is sealed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchBegin {
    /// A random id drawn by the entry, which the batch gets if the job is new.
    pub batch: BatchId,
    /// The customer who submits the batch.
    pub customer: CustomerId,
    /// The API key of the request.
    pub key: KeyId,
    /// The caller's idempotency key; uploads with the same key are the same job.
    pub idempotency: Option<String>,
    /// The customer's deadline for the batch.
    pub due: Option<UnixMillis>,
    /// The entry's clock; expiry uses the leader's.
    pub now: UnixMillis,
}

impl Call for BatchBegin {
    const PATH: &'static str = "/internal/batch/begin";
    type Reply = BatchBeginReply;
}

/// Whether the upload may proceed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchBeginReply {
    /// The chunks may be sent; an earlier upload of the job is invalidated.
    Send {
        /// The batch id to use.
        batch: BatchId,
        /// The upload number to use.
        upload: u32,
    },
    /// The job has already been accepted.
    Accepted {
        /// The batch of the accepted job.
        batch: BatchId,
    },
    /// Rejected: a limit is exceeded.
    Full {
        /// The exceeded limit, for the caller.
        reason: String,
    },
}

/// One chunk of an upload; resending a stored chunk changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchChunk {
    /// The batch id from the [`BatchBeginReply`].
    pub batch: BatchId,
    /// The upload number from the [`BatchBeginReply`].
    pub upload: u32,
    /// The chunk's index, counted from 0 without gaps.
    pub chunk: u32,
    /// The items of the chunk, in the order of the batch.
    pub items: Vec<Item>,
}

/// One item of a batch, from one line of the caller's file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's id of the item, unique within the batch.
    pub custom_id: String,
    /// The route whose targets run the item.
    pub route: RouteId,
    /// The request body, as JSON text.
    pub body: String,
    /// Whether the item may be run again after a failure.
    pub idempotent: bool,
}

impl Call for BatchChunk {
    const PATH: &'static str = "/internal/batch/chunk";
    type Reply = BatchChunkReply;
}

/// Whether a chunk was stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchChunkReply {
    /// The chunk is durable on a quorum.
    Kept,
    /// A newer upload of the job was started, a chunk is missing, or the batch is gone.
    Superseded,
    /// Rejected: a custom id occurs twice in the batch.
    Doubled {
        /// The duplicate custom id.
        custom_id: String,
    },
    /// Rejected: a limit is exceeded.
    Full {
        /// The exceeded limit, for the caller.
        reason: String,
    },
}

/// Completes an upload, which accepts the batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSeal {
    /// The batch id from the [`BatchBeginReply`].
    pub batch: BatchId,
    /// The upload number from the [`BatchBeginReply`].
    pub upload: u32,
    /// Number of chunks; the seal is rejected if it differs from what was stored.
    pub chunks: u32,
    /// Number of items; the seal is rejected if it differs from what was stored.
    pub items: u32,
    /// Hash of the whole upload. Without an idempotency key, uploads of a customer with the same
    /// content are the same job.
    pub content: BodyHash,
}

impl Call for BatchSeal {
    const PATH: &'static str = "/internal/batch/seal";
    type Reply = BatchSealReply;
}

/// Whether the batch is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchSealReply {
    /// The batch is accepted and durable on a quorum.
    Accepted {
        /// The id of the batch, which is an earlier one if the same content was accepted before.
        batch: BatchId,
    },
    /// A newer upload of the job was started, or chunks are missing.
    Superseded,
}

/// Asks for a batch's progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchStatus {
    /// The batch to look up.
    pub batch: BatchId,
    /// The customer who asks; other customers' batches are not found.
    pub customer: CustomerId,
}

impl Call for BatchStatus {
    const PATH: &'static str = "/internal/batch/status";
    type Reply = Option<BatchView>;
}

/// A batch's progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchView {
    /// The id under which the batch was accepted.
    pub batch: BatchId,
    /// Whether the batch is being uploaded, running, or complete.
    pub state: BatchState,
    /// Total number of items.
    pub items: u32,
    /// Number of finished items by outcome.
    pub counts: OutcomeCounts,
    /// Number of leased items.
    pub running: u32,
    /// The customer's deadline, if there is one.
    pub due: Option<UnixMillis>,
    /// Whether the batch is likely to miss its deadline.
    pub endangered: bool,
    /// When the batch was accepted, or its upload started.
    pub created: UnixMillis,
}

/// The state of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchState {
    /// Being uploaded and not yet accepted.
    Uploading,
    /// Accepted; some items are waiting or running.
    Running,
    /// Cancelled, with items that are still running.
    Cancelling,
    /// Cancelled; every item has an outcome.
    Cancelled,
    /// Complete; every item has an outcome.
    Done,
}

/// Number of items by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Items with a result.
    pub done: u32,
    /// Items without a result after all attempts.
    pub failed: u32,
    /// Items that were refused because they crash targets.
    pub poisoned: u32,
    /// Items that were cancelled before they finished.
    pub cancelled: u32,
    /// Non-idempotent items that may or may not have run.
    pub unknown: u32,
}

/// Cancels a batch; cancelling a cancelled or complete batch has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCancel {
    /// The batch to cancel.
    pub batch: BatchId,
    /// The customer who asks; other customers' batches are not found.
    pub customer: CustomerId,
}

impl Call for BatchCancel {
    const PATH: &'static str = "/internal/batch/cancel";
    type Reply = Option<BatchView>;
}

/// Reads results in the order of the items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchResults {
    /// The batch to read.
    pub batch: BatchId,
    /// The customer who asks; other customers' batches are not found.
    pub customer: CustomerId,
    /// The first item to return.
    pub from: ItemIndex,
}

impl Call for BatchResults {
    const PATH: &'static str = "/internal/batch/results";
    type Reply = Option<ResultsPage>;
}

/// A page of results; unfinished items are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultsPage {
    /// The results, in the order of the items.
    pub results: Vec<ItemResult>,
    /// The first item of the next page; `None` if this is the last one.
    pub next: Option<ItemIndex>,
}

/// The final outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's index within the batch.
    pub item: ItemIndex,
    /// The caller's id of the item.
    pub custom_id: String,
    /// How the item ended.
    pub outcome: ItemOutcome,
}

/// The final outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The item finished with a response from the target.
    Done {
        /// The response's HTTP status.
        status: u16,
        /// The response's body, as JSON text.
        body: String,
    },
    /// All attempts ended without a response.
    Failed {
        /// The cause, for the caller.
        reason: String,
    },
    /// The item was refused because it crashes targets.
    Poisoned,
    /// The item was cancelled before it finished.
    Cancelled,
    /// The item may or may not have run, and is not idempotent.
    Unknown,
}

/// Asks for items to run; the leases are committed before the reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseItems {
    /// The agent that asks.
    pub holder: HolderId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the call within the incarnation, so that a resent call leases no further
    /// items.
    pub sequence: u64,
    /// The models loaded in the engine; empty for a plain service.
    pub models: Vec<LoadedModel>,
    /// The service, if the target is a plain one.
    pub service: Option<ServiceId>,
    /// Maximum number of items to lease.
    pub room: u32,
    /// Leases of running items, to be renewed.
    pub renew: Vec<LeaseRef>,
}

/// Identifies a lease on an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRef {
    /// The leased item.
    pub item: ItemRef,
    /// The attempt that the lease is for; results of older attempts are rejected.
    pub attempt: Attempt,
}

impl Call for LeaseItems {
    const PATH: &'static str = "/internal/batch/lease";
    type Reply = LeaseItemsReply;
}

/// New and ended leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseItemsReply {
    /// The newly leased items.
    pub items: Vec<LeasedItem>,
    /// Duration of all new and renewed leases, in milliseconds since the agent sent the call.
    pub lease_ms: u32,
    /// Leases of `renew` whose items must stop: cancelled, finished or leased again since.
    pub stop: Vec<LeaseRef>,
}

/// An item to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedItem {
    /// The lease under which to report the end of the attempt.
    pub lease: LeaseRef,
    /// The customer who submitted the batch.
    pub customer: CustomerId,
    /// The API key with which the batch was submitted.
    pub key: KeyId,
    /// The item to run.
    pub content: Item,
    /// The batch's deadline, if the customer set one.
    pub due: Option<UnixMillis>,
    /// The customer's weight in the fair queue.
    pub weight: u32,
    /// Estimated cost, for the agent's fair queue.
    pub cost: Tokens,
    /// Whether the item was in flight at a crash and must not run together with other suspects.
    pub suspect: bool,
}

/// Reports how attempts at items ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishItems {
    /// The agent that reports.
    pub holder: HolderId,
    /// The agent's incarnation; leases of an earlier one are stale.
    pub incarnation: Incarnation,
    /// The finished attempts.
    pub ends: Vec<FinishedAttempt>,
}

/// How an attempt at an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedAttempt {
    /// The lease of the attempt.
    pub lease: LeaseRef,
    /// How the attempt ended.
    pub end: AttemptEnd,
}

/// The result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The item finished with a response from the target.
    Done {
        /// The response's HTTP status.
        status: u16,
        /// The response's body, as JSON text.
        body: String,
    },
    /// The item was returned unstarted, or preempted by online requests; not counted as an attempt.
    Returned,
    /// The item may have run but did not finish, because the target crashed or the response was cut
    /// off.
    Lost {
        /// Whether the target crashed with the item in flight.
        crashed: bool,
    },
}

impl Call for FinishItems {
    const PATH: &'static str = "/internal/batch/finish";
    type Reply = FinishItemsReply;
}

/// Whether each end was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishItemsReply {
    /// One value per end, in the same order.
    #[serde(rename = "taken")]
    pub recorded: Vec<Recorded>,
}

/// Whether the end of an attempt was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recorded {
    /// The end is committed.
    Yes,
    /// Ignored: the lease is not the item's latest, or the item already has its outcome.
    Stale,
}
