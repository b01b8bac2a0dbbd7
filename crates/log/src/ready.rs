//! What a node wants done after a step.

use crate::{Base, Entry, HardState, MemberId, Message};

/// What a node wants done; the driver takes it after each round of steps.
#[derive(Debug, Default)]
pub struct Ready {
    /// What to write and sync, in the order of the rounds.
    pub write: Option<Write>,
    /// Messages that may leave at once: those that depend on a sync come after it.
    pub messages: Vec<Message>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once `index` is applied.
    pub reads: Vec<ReadReady>,
    /// Reads that this node can't answer, as it no longer leads.
    pub failed_reads: Vec<ReadId>,
    /// Members that need a copy of the state, as the log no longer reaches back to them.
    pub snapshots: Vec<MemberId>,
}

/// A write for the disk; its entries replace all from the first one's index on.
#[derive(Debug, Clone, Default)]
pub struct Write {
    /// The number to report with [`Node::synced`](crate::Node::synced).
    pub number: WriteNumber,
    /// Term and vote, when they changed.
    pub hard: Option<HardState>,
    /// Drops the whole log and starts it anew from here, before `entries`.
    pub reset: Option<Base>,
    /// New entries, without gaps.
    pub entries: Vec<Entry>,
}

/// The number of a write; they are synced in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// A read, numbered by whoever asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// A read that may be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadReady {
    /// Which read.
    pub id: ReadId,
    /// The entry that must be applied first.
    pub index: crate::LogIndex,
}
