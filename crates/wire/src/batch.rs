//! Batches: upload, status, cancel and results between entries and the control leader, and
//! leases of items between agents and the control leader. See `docs/DESIGN.md`, "Batch items".

use clem_types::{
    Attempt, BatchId, BodyHash, CustomerId, HolderId, Incarnation, ItemIndex, KeyId, RouteId,
    ServiceId, Tokens, UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::{
    Call,
    sync::{ItemRef, LoadedModel},
};

/// Opens an upload; a batch counts for nothing before it is sealed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchBegin {
    /// The id that the entry drew for the batch, used when the job is new.
    pub batch: BatchId,
    /// Whose batch it is.
    pub customer: CustomerId,
    /// The key that it came with.
    pub key: KeyId,
    /// The caller's idempotency key: the same one means the same batch.
    pub idempotency: Option<String>,
    /// When the batch should be finished.
    pub due: Option<UnixMillis>,
    /// The present, for retention; the leader writes it into the log.
    pub now: UnixMillis,
}

impl Call for BatchBegin {
    const PATH: &'static str = "/internal/batch/begin";
    type Reply = BatchBeginReply;
}

/// Whether the upload goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchBeginReply {
    /// Send the chunks under this id and upload number; an earlier upload of the job is void.
    Send {
        /// The batch.
        batch: BatchId,
        /// Counts the uploads of this batch.
        upload: u32,
    },
    /// The job was accepted before, as this batch.
    Accepted {
        /// The batch.
        batch: BatchId,
    },
    /// Not accepted: there is no room.
    Full {
        /// What is full, for the caller.
        reason: String,
    },
}

/// A part of an upload; sent again after a lost answer it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchChunk {
    /// The batch.
    pub batch: BatchId,
    /// The upload that the chunk belongs to.
    pub upload: u32,
    /// The chunk's place, from 0, without gaps.
    pub chunk: u32,
    /// Its items.
    pub items: Vec<Item>,
}

/// One line of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's name for it, unique in the batch.
    pub custom_id: String,
    /// The route that runs it.
    pub route: RouteId,
    /// The request body, as JSON text.
    pub body: String,
    /// Whether it may be run again after a failure.
    pub idempotent: bool,
}

impl Call for BatchChunk {
    const PATH: &'static str = "/internal/batch/chunk";
    type Reply = BatchChunkReply;
}

/// Whether a chunk was kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchChunkReply {
    /// It is durable on a quorum.
    Kept,
    /// A newer upload of the job has begun, or the batch is gone.
    Superseded,
    /// A custom id stands twice in the batch.
    Doubled {
        /// The custom id.
        custom_id: String,
    },
    /// Not accepted: there is no room.
    Full {
        /// What is full, for the caller.
        reason: String,
    },
}

/// Ends an upload: from here on the batch is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSeal {
    /// The batch.
    pub batch: BatchId,
    /// The upload that is sealed.
    pub upload: u32,
    /// How many chunks it has; a missing one refuses the seal.
    pub chunks: u32,
    /// How many items it has.
    pub items: u32,
    /// What the whole upload hashes to; the same customer's same content is the same batch.
    pub content: BodyHash,
}

impl Call for BatchSeal {
    const PATH: &'static str = "/internal/batch/seal";
    type Reply = BatchSealReply;
}

/// Whether the batch is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchSealReply {
    /// It is accepted and durable on a quorum, under this id.
    Accepted {
        /// The batch; an earlier one when the same content was accepted before.
        batch: BatchId,
    },
    /// A newer upload of the job has begun, or chunks are missing.
    Superseded,
}

/// Asks how far a batch is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchStatus {
    /// The batch.
    pub batch: BatchId,
    /// Who asks; another customer's batch is not found.
    pub customer: CustomerId,
}

impl Call for BatchStatus {
    const PATH: &'static str = "/internal/batch/status";
    type Reply = Option<BatchView>;
}

/// How far a batch is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchView {
    /// The batch.
    pub batch: BatchId,
    /// Where it stands.
    pub state: BatchState,
    /// How many items it has.
    pub items: u32,
    /// How many items have each outcome.
    pub counts: OutcomeCounts,
    /// Items that run.
    pub running: u32,
    /// When it should be finished.
    pub due: Option<UnixMillis>,
    /// Whether it is in danger of its due time.
    pub endangered: bool,
    /// When it was accepted.
    pub created: UnixMillis,
}

/// Where a batch stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchState {
    /// Being uploaded; not accepted yet.
    Uploading,
    /// Accepted; items wait or run.
    Running,
    /// Being cancelled; items that run are being stopped.
    Cancelling,
    /// Cancelled; every item has its outcome.
    Cancelled,
    /// Every item has its outcome.
    Done,
}

/// How many items ended in each way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Finished with a result.
    pub done: u32,
    /// Ended without a result after all attempts.
    pub failed: u32,
    /// Refused because they crash targets.
    pub poisoned: u32,
    /// Cancelled before they finished.
    pub cancelled: u32,
    /// May have run; may not be run again.
    pub unknown: u32,
}

/// Cancels a batch; twice, or after its end, is no error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCancel {
    /// The batch.
    pub batch: BatchId,
    /// Who asks; another customer's batch is not found.
    pub customer: CustomerId,
}

impl Call for BatchCancel {
    const PATH: &'static str = "/internal/batch/cancel";
    type Reply = Option<BatchView>;
}

/// Reads results in the order of the items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchResults {
    /// The batch.
    pub batch: BatchId,
    /// Who asks; another customer's batch is not found.
    pub customer: CustomerId,
    /// The first item wanted.
    pub from: ItemIndex,
}

impl Call for BatchResults {
    const PATH: &'static str = "/internal/batch/results";
    type Reply = Option<ResultsPage>;
}

/// Some results; items without an outcome yet are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultsPage {
    /// The results.
    pub results: Vec<ItemResult>,
    /// Where the next page starts; none at the end.
    pub next: Option<ItemIndex>,
}

/// The final outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub item: ItemIndex,
    /// The caller's name for it.
    pub custom_id: String,
    /// How it ended.
    pub outcome: ItemOutcome,
}

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// Finished, with the target's answer as JSON text.
    Done {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// Ended without a result after all attempts.
    Failed {
        /// Why, for the caller.
        reason: String,
    },
    /// Refused because it crashes targets.
    Poisoned,
    /// Cancelled before it finished.
    Cancelled,
    /// May have run; may not be run again.
    Unknown,
}

/// Asks for items to run; the leases are in the log before the reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseItems {
    /// The agent.
    pub holder: HolderId,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// Counts the agent's calls, so that one that arrives twice leases once.
    pub sequence: u64,
    /// The models in the engine; none for a plain service.
    pub models: Vec<LoadedModel>,
    /// The plain service, if it is one.
    pub service: Option<ServiceId>,
    /// How many items there is room for.
    pub room: u32,
    /// Items that still run and whose leases are to be renewed.
    pub renew: Vec<LeaseRef>,
}

/// A lease on an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRef {
    /// The item.
    pub item: ItemRef,
    /// The attempt that the lease is for; a result under an older one is refused.
    pub attempt: Attempt,
}

impl Call for LeaseItems {
    const PATH: &'static str = "/internal/batch/lease";
    type Reply = LeaseItemsReply;
}

/// Items to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseItemsReply {
    /// New items.
    pub items: Vec<LeasedItem>,
    /// How long the leases hold, in milliseconds since the agent asked.
    pub lease_ms: u32,
    /// Items of `renew` that must stop: cancelled, finished elsewhere, or leased anew.
    pub stop: Vec<LeaseRef>,
}

/// An item to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedItem {
    /// The lease.
    pub lease: LeaseRef,
    /// Whose item it is.
    pub customer: CustomerId,
    /// The key that the batch came with.
    pub key: KeyId,
    /// What to run.
    pub content: Item,
    /// When the batch should be finished.
    pub due: Option<UnixMillis>,
    /// The customer's weight in the fair queue.
    pub weight: u32,
    /// The estimated cost.
    pub cost: Tokens,
    /// Whether the item was in flight at a crash and must run apart from other suspects.
    pub suspect: bool,
}

/// Reports how attempts ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishItems {
    /// The agent.
    pub holder: HolderId,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// The ends, each under its lease.
    pub ends: Vec<ItemEnd>,
}

/// How an attempt at an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemEnd {
    /// The lease that the item ran under.
    pub lease: LeaseRef,
    /// Its end.
    pub end: AttemptEnd,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// It finished, with the target's answer as JSON text.
    Done {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// It was given back and did not run, or was parked for chat; this counts as no attempt.
    Returned,
    /// It may have run and did not finish: the target died, or the answer was cut.
    Lost {
        /// Whether the target died with the item in flight.
        crashed: bool,
    },
}

impl Call for FinishItems {
    const PATH: &'static str = "/internal/batch/finish";
    type Reply = FinishItemsReply;
}

/// Whether each end was taken, in the same order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishItemsReply {
    /// The answers.
    pub taken: Vec<Taken>,
}

/// Whether an end was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Taken {
    /// It is in the log.
    Yes,
    /// The lease is not the item's latest, or the item has its outcome already.
    Stale,
}
