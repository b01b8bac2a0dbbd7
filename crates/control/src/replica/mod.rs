//! This process's part in the control group: proposing commands and reading the state.
//!
//! The rest of the program only knows this interface. For now a group of one process stands
//! behind it.

mod single;

use clem_state::Outcome;

pub use single::{Replica, ReplicaSettings};

/// What became of a proposed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Proposed {
    /// It is committed and applied, with this outcome.
    Done(Outcome),
    /// This process does not lead; the command is in no log.
    NotLeader,
    /// This process lost its place meanwhile; the command may yet be committed.
    Unknown,
}
