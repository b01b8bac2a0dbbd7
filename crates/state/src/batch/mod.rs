//! Batches: upload, item leases, results, cancellation and retention.
//!
//! Designed for batches of 670,000 items: the header holds all counts, an index per route holds the
//! waiting items, and no command iterates over a whole batch. Each route is shared among customers
//! in proportion to their weights. Within a customer the batch with the earliest deadline comes
//! first, but every [`SMALL_EVERY`]th item is taken from the smallest batch, so that it doesn't
//! starve behind a large one. See `docs/design/control.md`, "Batches".
//!
//! Each item gets exactly one final outcome: its result record, or "cancelled" if its batch is
//! cancelled and it has no result record.

mod cancel;
mod finish;
mod header;
mod item;
mod lease;
mod queue;
mod read;
mod retention;
mod upload;

pub use cancel::{CancelOutcome, RunningItem};
pub use item::{MAX_CRASHES, MAX_LOSSES};
pub use lease::Lease;
pub use queue::{SMALL_EVERY, has_waiting};
pub use read::{endangered, orphaned, results, status};
pub use upload::Begin;

pub(crate) use cancel::cancel;
pub(crate) use finish::{expire_leases, finish, has_expired_lease};
pub(crate) use lease::lease;
pub(crate) use retention::{expire, has_expired};
pub(crate) use upload::{begin, chunk, seal};
