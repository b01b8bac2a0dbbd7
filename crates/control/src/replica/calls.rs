//! What the members of a group send each other.

use clem_log::{Base, ClusterId, MemberId, Members, Message};
use clem_wire::Call;
use serde::{Deserialize, Serialize};

/// Messages of the consensus protocol; the reply brings back what waits for the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Exchange {
    /// The group that the messages belong to; another one's are dropped.
    pub(super) cluster: ClusterId,
    /// Who sends.
    pub(super) from: MemberId,
    /// The messages, in order.
    pub(super) messages: Vec<Message>,
}

impl Call for Exchange {
    const PATH: &'static str = "/internal/group/exchange";
    type Reply = ExchangeReply;
}

/// What waited for the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ExchangeReply {
    /// The messages, in order.
    pub(super) messages: Vec<Message>,
}

/// Asks a process who it is and which group it knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Hello {}

impl Call for Hello {
    const PATH: &'static str = "/internal/group/hello";
    type Reply = HelloReply;
}

/// Who a process is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct HelloReply {
    /// Its member id.
    pub(super) member: MemberId,
    /// Whether it has a disk: the others never vote, nor found a group.
    pub(super) votes: bool,
    /// The group that it belongs to, and that group's first members; none while its disk is new.
    pub(super) group: Option<Group>,
}

/// A group as its founder made it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Group {
    /// Its id.
    pub(super) cluster: ClusterId,
    /// The members as of the start of the answering process's log.
    pub(super) members: Members,
}

/// A process with a new disk asks for the place of the lost one at its address.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Join {
    /// The group.
    pub(super) cluster: ClusterId,
    /// The new member.
    pub(super) member: MemberId,
    /// Its address, as `IP:PORT`.
    pub(super) address: String,
}

impl Call for Join {
    const PATH: &'static str = "/internal/group/join";
    type Reply = JoinReply;
}

/// Whether the leader heard a wish to join; it is repeated until the member finds itself in the
/// group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum JoinReply {
    /// It is the leader and will see to it.
    Heard,
    /// It is not the leader, or the group has no place at that address.
    Refused,
}

/// A part of a copy of the state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CopyPage {
    /// The group.
    pub(super) cluster: ClusterId,
    /// Whom it is for; another disk at the same address must not take it.
    pub(super) to: MemberId,
    /// Where the log starts after the copy.
    pub(super) base: Base,
    /// The page's place, from 0.
    pub(super) page: u64,
    /// The pairs of the store, in order.
    pub(super) pairs: Vec<CopyPair>,
    /// Whether this is the last page.
    pub(super) last: bool,
}

impl Call for CopyPage {
    const PATH: &'static str = "/internal/group/copy";
    type Reply = CopyReply;
}

/// A pair of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CopyPair {
    /// Its key.
    #[serde(with = "serde_bytes")]
    pub(super) key: Vec<u8>,
    /// Its value.
    #[serde(with = "serde_bytes")]
    pub(super) value: Vec<u8>,
}

/// Whether a page was taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum CopyReply {
    /// The next page may follow; after the last one, the copy is durable and in use.
    Taken,
    /// The copy is not wanted, or pages are missing.
    Refused,
}
