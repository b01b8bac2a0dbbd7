//! The replicated log, based on Raft: consensus as a step function, and storage on disk.
//!
//! A [`Node`] is one member. It does no I/O and reads no clock: a driver passes it messages and the
//! current time and takes a [`Ready`] after each round, which holds the data to write and sync, the
//! messages to send and the committed entries to apply. docs/design/agreement.md describes the
//! guarantees of the protocol and why they hold.
//!
//! ```
//! use clem_log::{
//!     InitialState, Member, MemberId, MemberKind, Members, Node, Settings, SnapshotMetadata,
//! };
//! use clem_types::Time;
//!
//! let member = Member { id: MemberId(1), address: "127.0.0.1:7000".into(), kind: MemberKind::Voter };
//! let start = InitialState {
//!     base: SnapshotMetadata {
//!         members: Members::new(vec![member]),
//!         ..SnapshotMetadata::default()
//!     },
//!     ..InitialState::new(MemberId(1), 7)
//! };
//! let mut now = Time::ZERO;
//! let mut node = Node::new(now, start, Settings::default());
//! while !node.is_leader() {
//!     now = node.wake_at();
//!     node.tick(now);
//!     if let Some(write) = node.ready(now).write {
//!         node.synced(now, write.number);
//!     }
//! }
//! assert!(node.propose(now, b"command"[..].into()).is_ok());
//! ```

pub mod disk;
mod entry;
mod error;
mod id;
mod members;
mod memlog;
mod message;
mod node;
mod progress;
mod ready;
mod settings;

pub use entry::{Entry, HardState, Payload, SnapshotMetadata};
pub use error::{NodeError, Result};
pub use id::{ClusterId, LogIndex, LogPosition, MemberId, Term};
pub use members::{Change, Member, MemberKind, Members};
pub use message::{Append, Ballot, Body, Departing, Message, Silence};
pub use node::{
    Departure, GroupStatus, Hold, InitialState, LearnerStatus, Node, Vacancy, VoteAnswer,
    VoterStatus,
};
pub use ready::{ReadId, ReadReady, Ready, Removal, Write, WriteNumber};
pub use settings::Settings;
