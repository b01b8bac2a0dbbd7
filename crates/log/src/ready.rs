//! The output of a node for its driver.

use std::time::Duration;

use crate::{Entry, HardState, MemberId, Message, SnapshotMetadata};

/// The work for the driver after a round of steps.
#[derive(Debug, Default)]
pub struct Ready {
    /// Data to write and sync, in the order of the rounds.
    pub write: Option<Write>,
    /// Messages to send now; those that depend on a sync are held back until it is reported.
    pub messages: Vec<Message>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once their index is applied.
    pub reads: Vec<ReadReady>,
    /// Reads that failed because this node lost its leadership.
    pub failed_reads: Vec<ReadId>,
    /// Members that need a snapshot, as the entries that they lack are compacted.
    pub snapshots: Vec<MemberId>,
    /// Members that this leader has begun to remove by itself, for logs.
    pub removals: Vec<Removal>,
}

/// The removal of a member that its leader has proposed by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Removal {
    /// The member.
    pub id: MemberId,
    /// Whether it is a voter.
    pub votes: bool,
    /// Whether it is to be replaced although it may be alive.
    pub leaves: bool,
    /// How long it has been silent, for this leader and those before it.
    pub silence: Duration,
    /// How many voters remain, and how many of them have replied within an election timeout.
    pub remaining: usize,
    /// See [`remaining`](Self::remaining).
    pub replying: usize,
}

/// A write to the log on disk; its entries replace any at the index of the first and above.
#[derive(Debug, Clone, Default)]
pub struct Write {
    /// The number to pass to [`Node::synced`](crate::Node::synced).
    pub number: WriteNumber,
    /// Term and vote, if they have changed.
    pub hard: Option<HardState>,
    /// If set, the log is cleared and restarted at this point before `entries` are written.
    pub reset: Option<SnapshotMetadata>,
    /// Consecutive new entries.
    pub entries: Vec<Entry>,
}

/// The number of a write; writes are synced in ascending order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// The id of a read, chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// A read that is confirmed as linearizable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadReady {
    /// The read.
    pub id: ReadId,
    /// The index that must be applied before answering.
    pub index: crate::LogIndex,
}
