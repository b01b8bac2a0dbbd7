//! Calls from operators' tools to the control leader.

use std::{net::SocketAddr, time::Duration};

use clem_types::{CommandId, DataCentre, FenceNumber, HolderId, TargetId, UnixMillis, Version};
use serde::{Deserialize, Serialize};

use crate::{
    Call,
    batch::BatchView,
    sync::{Action, Load, OrderOutcome, Role, Serves},
};

/// Activates a rules file, if the current version is still the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The id of the command; a resent command gets its first answer.
    pub command: CommandId,
    /// The version that the operator edited.
    pub expect: Version,
    /// The complete text of the file.
    pub text: String,
}

impl Call for Apply {
    const PATH: &'static str = "/internal/admin/apply";
    const MAX_HOLD: Duration = Duration::from_millis(500);
    type Reply = ApplyReply;
}

/// Whether a rules file was activated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyReply {
    /// The file was accepted.
    Accepted {
        /// The version that the file got.
        version: Version,
        /// Whether every holder has confirmed the version or lost its lease, so that no process
        /// uses older rules.
        in_force: bool,
        /// Lease holders that have not confirmed the version yet.
        waiting: Vec<HolderId>,
    },
    /// The active version is not the expected one; nothing was changed.
    Conflict {
        /// The active version.
        current: Version,
    },
    /// The file has errors; nothing was changed.
    Rejected {
        /// All errors, in the order of their positions.
        findings: Vec<FileFinding>,
    },
}

/// An error in a rules file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileFinding {
    /// The line, counted from 1.
    pub line: u32,
    /// The column, counted from 1.
    pub column: u32,
    /// Description of the error, for the operator.
    pub message: String,
}

/// Reads the active rules file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRules {}

impl Call for ReadRules {
    const PATH: &'static str = "/internal/admin/rules";
    type Reply = RulesFile;
}

/// The active rules file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesFile {
    /// The version of the file; 0 if there is none yet.
    pub version: Version,
    /// The complete text; empty at version 0.
    pub text: String,
}

/// Creates an order for a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveOrder {
    /// The id of the command; a resent command gets its first answer.
    pub command: CommandId,
    /// The target that the order is for.
    pub target: TargetId,
    /// What the target should do.
    pub action: Action,
    /// The target's newest order that the operator has seen, 0 for none; the call is a conflict if
    /// there is a newer one. None skips the check.
    pub expect: Option<FenceNumber>,
    /// Whether to drain the target even if it is the last replica of a route.
    pub force: bool,
}

impl Call for GiveOrder {
    const PATH: &'static str = "/internal/admin/order";
    type Reply = GiveOrderReply;
}

/// Whether an order was created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveOrderReply {
    /// The order is committed.
    Accepted {
        /// The fence number of the order.
        fence: FenceNumber,
    },
    /// The target has a newer order than the expected one; nothing was changed.
    Conflict {
        /// The fence number of the target's newest order.
        newest: FenceNumber,
    },
    /// The order is invalid or not allowed; nothing was changed.
    Rejected {
        /// Why the order was rejected, for the operator.
        reason: String,
    },
}

/// Reads the status of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadStatus {}

impl Call for ReadStatus {
    const PATH: &'static str = "/internal/admin/status";
    type Reply = StatusView;
}

/// The status of the whole system, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The version of the active rules.
    pub rules: Version,
    /// The members of the control group.
    pub members: Vec<MemberView>,
    /// The entries and agents that hold or held a lease.
    pub holders: Vec<HolderView>,
    /// The targets in the rules.
    pub targets: Vec<TargetStatus>,
    /// Batches that are likely to miss their deadlines, bounded in number.
    pub endangered: Vec<BatchView>,
    /// The latest orders, newest first, bounded in number.
    pub orders: Vec<OrderView>,
}

/// A member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The address on which the member serves the group and its clients.
    pub address: SocketAddr,
    /// The member's identity, created at random with its data folder.
    pub identity: String,
    /// The member's Raft role.
    pub role: MemberRole,
    /// Index of the last log entry that is known to be on the member's disk.
    pub matched: u64,
}

/// The Raft role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// The member that replicates the log to the others.
    Leader,
    /// A voting member that is not the leader.
    Follower,
    /// A non-voting member that is catching up.
    Learner,
}

/// A lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderView {
    /// Identifies the process; unchanged by a restart at the same address.
    pub id: HolderId,
    /// Whether the process is an entry or an agent.
    pub role: Role,
    /// The data centre that the process runs in.
    pub data_centre: DataCentre,
    /// The version of the rules that the process has confirmed.
    pub rules: Version,
    /// Remaining time of the lease, in milliseconds; 0 if it has expired.
    pub lease_ms: u32,
    /// Whether the process is shutting down.
    pub stopping: bool,
}

/// The status of a target in the rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target's id in the rules.
    pub target: TargetId,
    /// Whether the target's agent holds a lease and reports that the target responds.
    pub live: bool,
    /// Whether the target accepts no new work.
    pub draining: bool,
    /// The models or the service that the target serves; `None` if not known.
    pub serves: Option<Serves>,
    /// The target's load, as last reported.
    pub load: Load,
}

/// An order and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderView {
    /// The order's fence number.
    pub fence: FenceNumber,
    /// The target that the order is for.
    pub target: TargetId,
    /// What the target should do.
    pub action: Action,
    /// When the order was created, by the leader's clock.
    pub given: UnixMillis,
    /// How the order ended; `None` while it is open.
    pub outcome: Option<OrderOutcome>,
}

/// Changes the members of the control group, or its leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeMembers {
    /// The id of the command; a resent command gets its first answer.
    pub command: CommandId,
    /// The change to make.
    pub change: MemberChange,
}

/// A change of the control group; only one can be in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Add the process at this address, first as a learner.
    Add(SocketAddr),
    /// Remove the member with this identity.
    Remove(String),
    /// Transfer leadership to the member with this identity.
    Transfer(String),
}

impl Call for ChangeMembers {
    const PATH: &'static str = "/internal/admin/members";
    type Reply = ChangeMembersReply;
}

/// Whether a membership change was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeMembersReply {
    /// The change has started; it may complete later.
    Accepted,
    /// The change is not possible; nothing was changed.
    Rejected {
        /// Why the change was rejected, for the operator.
        reason: String,
    },
}
