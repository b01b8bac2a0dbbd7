//! Stores the batches of the direct path and runs their items.
//!
//! See `docs/design/platform.md`, "What is kept where".

mod ended_items;
mod item;
mod item_watch;
mod keeper;
mod placement;
mod program;
mod queue;
mod run_set;
mod serve;
mod tasks;

pub use ended_items::EndedItems;
pub use item_watch::{IdleItem, ItemCounts, ItemState, ItemWatch};
pub use placement::Placement;
pub use program::{BatchSettings, run};
pub use queue::{ItemQueue, ReadyItem};
pub use run_set::{EndedRun, RunSet};
