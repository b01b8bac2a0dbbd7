//! The commands of the replicated log and their outcomes.

use clem_types::{CommandId, UnixMillis, Version};
use clem_wire::{
    admin::GiveOrderReply,
    batch::{
        BatchBeginReply, BatchCancel, BatchChunk, BatchChunkReply, BatchSeal, BatchSealReply,
        FinishItems, FinishItemsReply, LeaseItemsReply,
    },
    online::{OnceBegin, OnceBeginReply, OnceFinish, ReportCrash, ReportCrashReply},
};
use serde::{Deserialize, Serialize};

use crate::{
    batch::{Begin, CancelOutcome, Lease},
    batch_group::BatchGroupChange,
    document::DocumentChange,
    jobs::{JobCommand, JobOutcome},
    orders::{EndOrders, GiveOrder},
    rules::{ApplyOutcome, ApplyRules},
};

/// A state change, as it is stored in the log.
///
/// The time and all limits that come from a process's settings are part of the command, so that
/// every replica computes the same state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; shows that the log commits entries.
    Nothing,
    /// Activates a rules file.
    Apply(ApplyRules),
    /// Creates an order for a target.
    Order(GiveOrder),
    /// Records the results of orders.
    EndOrders(EndOrders),
    /// Records an at-most-once call before it is dispatched.
    OnceBegin {
        /// The call, as the entry sent it.
        call: OnceBegin,
        /// The leader's clock; the record expires relative to it.
        now: UnixMillis,
    },
    /// Records the outcome of an at-most-once call.
    OnceFinish(OnceFinish),
    /// Records which requests were in flight when a target crashed.
    Crash {
        /// The agent's report.
        report: ReportCrash,
        /// The leader's clock; new suspects expire relative to it.
        now: UnixMillis,
    },
    /// Starts the upload of a batch.
    BatchBegin(Begin),
    /// Stores one chunk of an upload.
    BatchChunk {
        /// The chunk, as the entry sent it.
        call: BatchChunk,
        /// Maximum total size of all batches, in bytes.
        room: u64,
    },
    /// Completes an upload and accepts the batch.
    BatchSeal {
        /// The seal, as the entry sent it.
        call: BatchSeal,
        /// The leader's clock.
        now: UnixMillis,
    },
    /// Cancels a batch.
    BatchCancel {
        /// Which batch to cancel.
        call: BatchCancel,
        /// The leader's clock.
        now: UnixMillis,
    },
    /// Leases batch items to an agent.
    Lease(Lease),
    /// Records how attempts at batch items ended.
    Finish {
        /// The agent's report.
        call: FinishItems,
        /// The leader's clock.
        now: UnixMillis,
    },
    /// Ends expired leases and drops a bounded number of expired records.
    Expire {
        /// The leader's clock.
        now: UnixMillis,
    },
    /// Stores the rules document of the direct path, if its version is newer, or what else the hub
    /// keeps.
    Document(DocumentChange),
    /// Changes the record of the group that stores the direct path's batches.
    #[serde(rename = "Depot")]
    BatchGroup(BatchGroupChange),
    /// Changes a batch of the direct path.
    Job(JobCommand),
}

/// The result of applying a command; the variant matches the command's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The command has no result of its own.
    Done,
    /// Whether a rules file was activated.
    Apply(ApplyOutcome),
    /// Whether an order was created.
    Order(GiveOrderReply),
    /// Whether the call may be dispatched.
    OnceBegin(OnceBeginReply),
    /// The verdict on each request of the crash report.
    Crash(ReportCrashReply),
    /// Whether the upload may proceed.
    BatchBegin(BatchBeginReply),
    /// Whether the chunk was stored.
    BatchChunk(BatchChunkReply),
    /// Whether the batch is accepted.
    BatchSeal(BatchSealReply),
    /// The batch's progress, and the items that must be stopped.
    BatchCancel(CancelOutcome),
    /// The leased items, and the leases that could not be renewed.
    Lease(LeaseItemsReply),
    /// Whether each end was recorded or its lease was stale.
    Finish(FinishItemsReply),
    /// Number of dropped records.
    Expired(usize),
    /// The stored version after the command.
    Document(Version),
    /// The result of a change of a direct-path batch.
    Job(JobOutcome),
}

impl Command {
    /// Whether the command only adds work. The others finish or free something, or change where things
    /// are kept, and so are needed while the disk is short of room.
    pub fn is_new(&self) -> bool {
        match self {
            Self::Nothing
            | Self::Apply(_)
            | Self::Order(_)
            | Self::OnceBegin { .. }
            | Self::BatchBegin(_)
            | Self::BatchChunk { .. }
            | Self::BatchSeal { .. } => true,
            Self::Document(change) => change.is_document(),
            Self::Job(command) => command.is_new(),
            Self::EndOrders(_)
            | Self::OnceFinish(_)
            | Self::Crash { .. }
            | Self::BatchCancel { .. }
            | Self::Lease(_)
            | Self::Finish { .. }
            | Self::Expire { .. }
            | Self::BatchGroup(_) => false,
        }
    }

    /// The command id under which the first answer is remembered; only rules files and orders have
    /// one.
    pub fn id(&self) -> Option<&CommandId> {
        match self {
            Self::Apply(command) => Some(&command.command),
            Self::Order(command) => Some(&command.command),
            Self::Nothing
            | Self::EndOrders(_)
            | Self::OnceBegin { .. }
            | Self::OnceFinish(_)
            | Self::Crash { .. }
            | Self::BatchBegin(_)
            | Self::BatchChunk { .. }
            | Self::BatchSeal { .. }
            | Self::BatchCancel { .. }
            | Self::Lease(_)
            | Self::Finish { .. }
            | Self::Expire { .. }
            | Self::Document(_)
            | Self::BatchGroup(_)
            | Self::Job(_) => None,
        }
    }
}
