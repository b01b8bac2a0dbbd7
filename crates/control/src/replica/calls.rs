//! Calls between the members of a group.

use std::net::SocketAddr;

use clem_log::{ClusterId, LogPosition, MemberId, Members, Message, SnapshotMetadata};
use clem_wire::Call;
use serde::{Deserialize, Serialize};

use super::discovery::NamedLeader;

/// Delivers consensus messages; the reply carries messages queued for the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Exchange {
    /// The group of the sender; messages of another group are discarded.
    pub(super) cluster: ClusterId,
    /// The sender.
    pub(super) from: MemberId,
    /// The messages, in order.
    pub(super) messages: Vec<Message>,
}

impl Call for Exchange {
    const PATH: &'static str = "/internal/group/exchange";
    type Reply = ExchangeReply;
}

/// Reply to [`Exchange`]: messages that were queued for the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ExchangeReply {
    /// The messages, in order.
    pub(super) messages: Vec<Message>,
}

/// Asks a process for its member id and its group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Hello {}

impl Call for Hello {
    const PATH: &'static str = "/internal/group/hello";
    type Reply = HelloReply;
}

/// Reply to [`Hello`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct HelloReply {
    /// The member id of the answering process.
    pub(super) member: MemberId,
    /// Whether the process has a disk; one without a disk neither votes nor bootstraps a group.
    pub(super) votes: bool,
    /// Whether its disk was empty before any group of the founders could be bootstrapped.
    #[serde(default)]
    pub(super) predates_group: bool,
    /// The group of the process; `None` while it has not joined one.
    pub(super) group: Option<Group>,
    /// Whether that group has no leader as far as the process knows.
    #[serde(default)]
    pub(super) leaderless: bool,
    /// Without a leader, the addresses at which the process looks for its group.
    #[serde(default)]
    pub(super) known: Vec<SocketAddr>,
    /// The leader of that group, if this process hears from it.
    #[serde(default)]
    pub(super) leader: Option<NamedLeader>,
    /// The latest members that the process knows to be committed.
    #[serde(default)]
    pub(super) committed: Option<Membership>,
}

/// The members of a group as of an entry of its log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Membership {
    /// The position of the entry.
    pub(super) at: LogPosition,
    /// The members.
    pub(super) members: Members,
}

/// A group and the members that it starts from.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Group {
    /// The group's id.
    pub(super) cluster: ClusterId,
    /// The members as known to the answering process.
    pub(super) members: Members,
}

/// Asks to become a member: in place of the lost disk at the same address, or of a voter that the
/// group lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Join {
    /// The group.
    pub(super) cluster: ClusterId,
    /// The id of the new member.
    pub(super) member: MemberId,
    /// The address of the new member, as `IP:PORT`.
    pub(super) address: String,
}

impl Call for Join {
    const PATH: &'static str = "/internal/group/join";
    type Reply = JoinReply;
}

/// Reply to [`Join`]. The call is repeated until the process finds itself among the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum JoinReply {
    /// The process is the leader and has recorded the request.
    Heard,
    /// The process is not the leader, or the group has no vacancy for that address.
    Refused,
}

/// Tells the leader that a member is about to stop. The call is repeated until it may.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Depart {
    /// The group.
    pub(super) cluster: ClusterId,
    /// The member.
    pub(super) member: MemberId,
}

impl Call for Depart {
    const PATH: &'static str = "/internal/group/depart";
    type Reply = DepartReply;
}

/// Reply to [`Depart`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum DepartReply {
    /// The member may stop.
    Go,
    /// The group still needs it.
    Wait,
    /// The process is not the leader of that group.
    NotLeader,
}

/// One page of a snapshot of the state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SnapshotPage {
    /// The group.
    pub(super) cluster: ClusterId,
    /// The receiving member; a process with another disk at the same address must refuse the page.
    pub(super) to: MemberId,
    /// The position in the log that the snapshot corresponds to.
    pub(super) base: SnapshotMetadata,
    /// The page number, from 0.
    pub(super) page: u64,
    /// Key-value pairs of the store, in key order.
    pub(super) pairs: Vec<SnapshotPair>,
    /// Whether this is the last page.
    pub(super) last: bool,
}

impl Call for SnapshotPage {
    const PATH: &'static str = "/internal/group/copy";
    type Reply = SnapshotReply;
}

/// A key-value pair of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SnapshotPair {
    /// The key.
    #[serde(with = "serde_bytes")]
    pub(super) key: Vec<u8>,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub(super) value: Vec<u8>,
}

/// Reply to [`SnapshotPage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum SnapshotReply {
    /// The page was stored. After the last page: the snapshot is durable and in use.
    Taken,
    /// The receiver leads or is another one, or pages are missing.
    Refused,
    /// The receiver's log has all of the snapshot. A release before this one takes it for an error.
    Held,
    /// The receiver has all pages and is putting the snapshot in place; the last page is to be sent again.
    /// A release before this one takes it for an error.
    Installing,
}
