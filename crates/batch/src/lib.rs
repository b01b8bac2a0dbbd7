//! Stores the batches of the direct path and runs their items.
//!
//! See `docs/design/platform.md`, "Batches".

mod board;
mod duties;
mod item;
mod keeper;
mod program;
mod serve;

pub use board::{Board, Ready};
pub use program::{BatchSettings, run};
