//! What operators' tools ask of the control leader.

use std::{net::SocketAddr, time::Duration};

use clem_types::{
    CommandId, DataCentre, FenceNumber, HolderId, RulesVersion, TargetId, UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::{
    Call,
    batch::BatchView,
    sync::{Action, Load, OrderOutcome, Role, Serves},
};

/// Puts a new rules file in force, if the version is still the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The command; sent again under the same id it gets its first answer.
    pub command: CommandId,
    /// The version that the file was made from.
    pub expect: RulesVersion,
    /// The whole file.
    pub text: String,
}

impl Call for Apply {
    const PATH: &'static str = "/internal/admin/apply";
    const MAX_HOLD: Duration = Duration::from_millis(500);
    type Reply = ApplyReply;
}

/// What became of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyReply {
    /// It is accepted as this version.
    Accepted {
        /// The version.
        version: RulesVersion,
        /// Whether every live holder has confirmed it, or its lease has run out.
        in_force: bool,
        /// Holders that have not confirmed it yet.
        waiting: Vec<HolderId>,
    },
    /// Another version won.
    Conflict {
        /// The version in force.
        current: RulesVersion,
    },
    /// The file has findings; nothing was applied.
    Rejected {
        /// All findings, in the order of their places.
        findings: Vec<FileFinding>,
    },
}

/// Something wrong in a rules file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileFinding {
    /// The line, from 1.
    pub line: u32,
    /// The column, from 1.
    pub column: u32,
    /// What is wrong, for the operator.
    pub message: String,
}

/// Reads the rules file in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRules {}

impl Call for ReadRules {
    const PATH: &'static str = "/internal/admin/rules";
    type Reply = RulesFile;
}

/// The rules file in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesFile {
    /// Its version.
    pub version: RulesVersion,
    /// Its text; empty at version 0.
    pub text: String,
}

/// Gives an operator's order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveOrder {
    /// The command; sent again under the same id it gets its first answer.
    pub command: CommandId,
    /// The target.
    pub target: TargetId,
    /// What to do.
    pub action: Action,
    /// The newest order that the operator knows of; another one since then wins.
    pub expect: Option<FenceNumber>,
    /// Whether to drain the last replica of a route all the same.
    pub force: bool,
}

impl Call for GiveOrder {
    const PATH: &'static str = "/internal/admin/order";
    type Reply = GiveOrderReply;
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveOrderReply {
    /// It is in the log under this number.
    Accepted {
        /// The number.
        fence: FenceNumber,
    },
    /// Another order came first.
    Conflict {
        /// Its number.
        newest: FenceNumber,
    },
    /// It makes no sense, for this reason; nothing was done.
    Rejected {
        /// Why, for the operator.
        reason: String,
    },
}

/// Reads the state of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadStatus {}

impl Call for ReadStatus {
    const PATH: &'static str = "/internal/admin/status";
    type Reply = StatusView;
}

/// The state of the whole system, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The rules in force.
    pub rules: RulesVersion,
    /// The control processes.
    pub members: Vec<MemberView>,
    /// Entries and agents.
    pub holders: Vec<HolderView>,
    /// Targets that the rules name.
    pub targets: Vec<TargetStatus>,
    /// Batches in danger of their due times, bounded in number.
    pub endangered: Vec<BatchView>,
    /// The latest orders, newest first, bounded in number.
    pub orders: Vec<OrderView>,
}

/// A control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its address.
    pub address: SocketAddr,
    /// Its identity, drawn when its disk was new.
    pub identity: String,
    /// What it does in the group.
    pub role: MemberRole,
    /// The last log entry known to be on its disk.
    pub matched: u64,
}

/// What a control process does in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Leads.
    Leader,
    /// Votes and follows.
    Follower,
    /// Catches up and does not vote.
    Learner,
}

/// A lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderView {
    /// The process.
    pub id: HolderId,
    /// What it does.
    pub role: Role,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// The rules that it has confirmed.
    pub rules: RulesVersion,
    /// What is left of its lease, in milliseconds; 0 when it ran out.
    pub lease_ms: u32,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// A target that the rules name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetId,
    /// Whether its agent holds a lease and says that it answers.
    pub live: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// What it serves, as far as known.
    pub serves: Option<Serves>,
    /// How busy it is.
    pub load: Load,
}

/// An order and how far it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderView {
    /// Its number.
    pub fence: FenceNumber,
    /// The target.
    pub target: TargetId,
    /// What it asks for.
    pub action: Action,
    /// When it was given.
    pub given: UnixMillis,
    /// How it ended; none while it is open.
    pub outcome: Option<OrderOutcome>,
}

/// Changes the members of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeMembers {
    /// The command; sent again under the same id it gets its first answer.
    pub command: CommandId,
    /// The change.
    pub change: MemberChange,
}

/// A change of the control group, one at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Take in the process at this address, first as a learner.
    Add(SocketAddr),
    /// Let go the member with this identity.
    Remove(String),
    /// Hand leadership to the member with this identity.
    Transfer(String),
}

impl Call for ChangeMembers {
    const PATH: &'static str = "/internal/admin/members";
    type Reply = ChangeMembersReply;
}

/// What became of a change of members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeMembersReply {
    /// It has begun.
    Accepted,
    /// It is refused for this reason.
    Rejected {
        /// Why, for the operator.
        reason: String,
    },
}
