//! The hub of the direct path: rules, targets, slots, rate limits and the placement of batches.
//!
//! See `docs/design/platform.md`.

mod hub;
mod lead;
mod list;
mod order;
mod program;
mod serve;

pub use hub::Hub;
pub use lead::{Lead, LeadStart, Process};
pub use program::{HubSettings, group_pace, run};
