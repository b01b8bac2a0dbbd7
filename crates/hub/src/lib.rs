//! The hub of the direct path: rules, targets, slots, rate limits and the placement of batches.
//!
//! See `docs/design/platform.md`.

mod hub;
mod lead;
mod operator;
mod polls;
mod program;
mod serve;
mod spread;
mod suspect_watch;
mod targets;
mod tasks;

pub use clem_policy::dispatch::Placement;
pub use hub::Hub;
pub use lead::{LeaderInit, LeaderState, Process, Wakes};
pub use polls::{HeldPoll, Polls};
pub use program::{HubSettings, consensus_settings, run};
pub use spread::{RulesSpread, SpreadReport};
pub use suspect_watch::{OldSuspect, SuspectWatch};
pub use targets::TargetList;
