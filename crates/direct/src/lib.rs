//! The direct path to targets: hub state, slots, pooled connections and single attempts.
//!
//! See `docs/design/platform.md`.

mod events;
mod exchange;
mod follow;
mod list;
mod node;
mod pool;
mod slot;
mod view;

pub use events::{Event, Events};
pub use exchange::{Kept, Outcome, Reply, Shipment};
pub use follow::follow;
pub use list::{poll_alone, read_targets};
pub use node::{Node, NodeSettings};
pub use slot::{Placed, Slot, release_loop};
pub use view::View;
