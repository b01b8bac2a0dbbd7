//! This process's part in the control group: proposing commands and reading the state.
//!
//! The rest of the program knows [`Replica`] only. Behind it,
//! - `seat` joins the consensus node, the writing thread and the state machine,
//! - `drive` is the loop that lets time pass and takes in what the disk says,
//! - `peers` carries messages between members,
//! - `formation` founds a group or joins one,
//! - `transfer` and `install` send and take in a copy of the state.
//!
//! See `docs/DESIGN.md`, "Agreement".

mod calls;
mod drive;
mod fatal;
mod formation;
mod gauges;
mod handle;
mod install;
mod peers;
mod routes;
mod seat;
mod shared;
mod transfer;

use clem_state::Outcome;

pub use handle::{RESERVE_BYTES, Replica, ReplicaSettings};

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
