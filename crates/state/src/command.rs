//! The commands that the log carries, and their outcomes.

use clem_types::{CommandId, RulesVersion, UnixMillis};
use clem_wire::{
    admin::GiveOrderReply,
    batch::{
        BatchBeginReply, BatchCancel, BatchChunk, BatchChunkReply, BatchSeal, BatchSealReply,
        FinishItems, FinishItemsReply, LeaseItemsReply,
    },
    fleet::RulesDocument,
    online::{OnceBegin, OnceBeginReply, OnceFinish, ReportCrash, ReportCrashReply},
};
use serde::{Deserialize, Serialize};

use crate::{
    batch::{Begin, CancelOutcome, Lease},
    batch_group::BatchGroupChange,
    jobs::{JobCommand, JobOutcome},
    orders::{EndOrders, GiveOrder},
    rules::{ApplyOutcome, ApplyRules},
};

/// A change of the state, as the log carries it.
///
/// Time and every limit that depends on a process's settings enter as values, so that all
/// replicas come to the same state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; shows that the log can take entries.
    Nothing,
    /// Puts a rules file in force.
    Apply(ApplyRules),
    /// Gives an order to a target.
    Order(GiveOrder),
    /// Takes the results of orders.
    EndOrders(EndOrders),
    /// Records a call that runs at most once, before its dispatch.
    OnceBegin {
        /// The call.
        call: OnceBegin,
        /// When it is recorded.
        now: UnixMillis,
    },
    /// Records the outcome of such a call.
    OnceFinish(OnceFinish),
    /// Takes in what was in flight when a target died.
    Crash {
        /// The report.
        report: ReportCrash,
        /// When it came.
        now: UnixMillis,
    },
    /// Opens the upload of a batch.
    BatchBegin(Begin),
    /// Takes in a part of an upload.
    BatchChunk {
        /// The call.
        call: BatchChunk,
        /// The most bytes that all batches together may take up.
        room: u64,
    },
    /// Ends an upload and accepts the batch.
    BatchSeal {
        /// The call.
        call: BatchSeal,
        /// The present.
        now: UnixMillis,
    },
    /// Cancels a batch.
    BatchCancel {
        /// The call.
        call: BatchCancel,
        /// The present.
        now: UnixMillis,
    },
    /// Leases items to an agent.
    Lease(Lease),
    /// Takes in the ends of attempts.
    Finish {
        /// The call.
        call: FinishItems,
        /// The present.
        now: UnixMillis,
    },
    /// Ends leases that have run out and drops what has expired, in a step of bounded size.
    Expire {
        /// The present.
        now: UnixMillis,
    },
    /// Keeps a whole set of rules, if it is newer.
    Document(RulesDocument),
    /// Changes the group that keeps batches.
    #[serde(rename = "Depot")]
    BatchGroup(BatchGroupChange),
    /// Changes the batches of the direct path.
    Job(JobCommand),
}

/// What a command brought about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is done, and there is nothing to tell.
    Done,
    /// What became of a rules file.
    Apply(ApplyOutcome),
    /// What became of an order.
    Order(GiveOrderReply),
    /// Whether a call may run.
    OnceBegin(OnceBeginReply),
    /// What the requests of a crash count as.
    Crash(ReportCrashReply),
    /// Whether an upload goes on.
    BatchBegin(BatchBeginReply),
    /// Whether a part of an upload was kept.
    BatchChunk(BatchChunkReply),
    /// Whether a batch is accepted.
    BatchSeal(BatchSealReply),
    /// What a cancel brought about.
    BatchCancel(CancelOutcome),
    /// Items to run.
    Lease(LeaseItemsReply),
    /// Which ends were taken.
    Finish(FinishItemsReply),
    /// How many records were dropped.
    Expired(usize),
    /// The version of the rules that are kept now.
    Document(RulesVersion),
    /// What became of a change of batches.
    Job(JobOutcome),
}

impl Command {
    /// The operator's or controller's command id, where there is one.
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
