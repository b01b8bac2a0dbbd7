//! The replicated state machine of the control, hub and batch processes.
//!
//! Each committed log entry holds a [`Command`], which [`apply`] executes against a
//! [`Store`](clem_store::Store); the [`Outcome`] is returned to the proposer. All state is kept in
//! the store, so a snapshot of the store is a snapshot of the state machine. Applying a command is
//! deterministic: no clock, no random numbers and no hash map iteration order. See
//! `docs/DESIGN.md`.
//!
//! ```
//! use clem_state::{ApplyOutcome, ApplyRules, Command, Outcome, apply};
//! use clem_store::MemStore;
//! use clem_types::Version;
//!
//! let mut store = MemStore::default();
//! let command = Command::Apply(ApplyRules {
//!     command: "c1".parse()?,
//!     expect: Version(0),
//!     text: String::new(),
//! });
//! let outcome = apply(&mut store, 1, &command)?;
//! assert_eq!(outcome, Outcome::Apply(ApplyOutcome::Accepted(Version(1))));
//! // A resent command returns the first answer and changes nothing.
//! assert_eq!(apply(&mut store, 2, &command)?, outcome);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod batch;
pub mod batch_group;
pub mod document;
pub mod evacuations;
pub mod jobs;
pub mod low_buckets;
pub mod orders;
pub mod poison;
pub mod rules;

mod answers;
mod command;
mod error;
mod once;
mod state;
mod table;

pub use command::{Command, Outcome};
pub use error::{Result, StateError};
pub use orders::{EndOrders, GiveOrder};
pub use rules::{ApplyOutcome, ApplyRules};
pub use state::{apply, has_expired};
