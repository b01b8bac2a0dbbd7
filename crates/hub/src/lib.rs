//! The hub of the direct path: rules, targets, slots, rates, and where batches are kept.
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
pub use program::{HubSettings, consensus_settings, run};
