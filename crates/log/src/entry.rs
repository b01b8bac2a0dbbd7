//! Log entries and the other durable state of a member.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{LogIndex, MemberId, Members, Term};

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation; a new leader appends it, as it can commit earlier entries only together with
    /// one of its own term.
    Noop,
    /// A command for the state machine.
    Data(Bytes),
    /// A membership configuration, which applies from this entry on.
    Members(Members),
}

impl Payload {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Data(data) => data.len(),
            Self::Members(members) => members.size(),
        }
    }
}

/// The approximate size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the log; the first entry has index 1.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size in bytes, in memory as well as on disk and in messages.
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.payload.size()
    }
}

/// The Raft state that must be durable before a message that depends on it is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term: the highest that this member has seen.
    pub term: Term,
    /// The member that got this member's vote in the current term, if any.
    pub vote: Option<MemberId>,
}

/// The point up to which a log is compacted, like the metadata of a Raft snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// The index of the last compacted entry, or 0.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The membership as of that entry.
    pub members: Members,
}
