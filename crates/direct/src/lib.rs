//! The direct path to targets: hub state, slots, pooled connections and single attempts.
//!
//! See `docs/design/platform.md`.

mod byte_budget;
mod crash_log;
mod events;
mod exchange;
mod fetch;
mod follow;
mod limits;
mod list;
mod node;
mod pool;
mod slot;
mod stream_log;
mod upload;
mod view;

pub use byte_budget::{ByteBudget, ByteShare};
pub use clem_policy::dispatch::RateTolerance;
pub use events::{Event, EventBuffer};
pub use exchange::{Liveness, Outcome, OutgoingRequest, Reply, ReplyConnection};
pub use fetch::newest_held;
pub use follow::follow;
pub use list::{ListReader, poll_without_hub};
pub use node::{Node, NodeSettings};
pub use pool::READ_BYTES_MAX;
pub use slot::{BusyCause, Slot, SlotOutcome, release_loop};
pub use upload::Upload;
pub use view::View;
