//! This process's replica: proposes commands to the group and reads the replicated state.
//!
//! [`Replica`] is the public interface. Behind it:
//! - `core` combines the consensus node, the log writer and the state machine,
//! - `event_loop` handles timers, disk events and outgoing messages,
//! - `peers` sends messages to other members,
//! - `formation` bootstraps a group or joins one, and `founding` decides which,
//! - `discovery` keeps what others say of the group,
//! - `brief` tells callers what this process knows of its group,
//! - `joining`, `learners` and `group_report` report how far that is,
//! - `participation` reports whether this member takes part, with `disk_work` and `in_flight`,
//! - `depart` prepares a planned stop,
//! - `room` keeps how much room the disk has,
//! - `send_snapshot` and `install_snapshot` bring a lagging member up to date.
//!
//! See `docs/DESIGN.md`, "Agreement".

pub mod brief;
mod calls;
mod core;
mod depart;
pub mod discovery;
mod disk_work;
mod event_loop;
mod fatal;
mod formation;
pub mod founding;
mod gauges;
mod group_report;
mod handle;
mod in_flight;
mod install_snapshot;
mod joining;
mod learners;
mod outbox;
mod participation;
mod peers;
mod room;
mod routes;
mod send_snapshot;
mod shared;

use std::time::Duration;

use clem_state::Outcome;

pub use handle::{RESERVE_BYTES, Replica, ReplicaSettings};

/// Time between two log lines on a state that lasts.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// The result of proposing a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalResult {
    /// The command is committed and applied, with this outcome.
    Done(Outcome),
    /// The command was not added to the log: this process is not the leader, or its proposal queue is
    /// full.
    NotLeader,
    /// The command was not added to the log of this leader, whose disk is short of room.
    NoRoom,
    /// Leadership was lost before the command was committed; it may still be committed later.
    Unknown,
}
