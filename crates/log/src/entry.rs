//! Entries of the log and what must be synced beside them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{LogIndex, MemberId, Members, Term};

/// What an entry asks the replicas to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader commits it to learn what is committed.
    Noop,
    /// A command for the state machine.
    Data(Bytes),
    /// The members from this entry on.
    Members(Members),
}

impl Payload {
    /// About how many bytes the payload takes.
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Data(data) => data.len(),
            Self::Members(members) => members.size(),
        }
    }
}

/// The bytes that an entry takes beside its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it asks for.
    pub payload: Payload,
}

impl Entry {
    /// About how many bytes the entry takes in memory, on disk and in a message.
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.payload.size()
    }
}

/// What a member must not forget: synced before any answer that depends on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// Who got this member's vote in that term.
    pub vote: Option<MemberId>,
}

/// The state before the first entry that a log still has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The last entry that the log no longer has.
    pub index: LogIndex,
    /// Its term.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
}
