//! Batches: upload, leases of items, results, cancel and retention.
//!
//! Sized for batches of 670,000 items: counts are kept in the batch's header, waiting items in
//! an index for each route, and nothing walks a whole batch in one step. Customers share each
//! route by weight; within a customer the earliest due time goes first, but every
//! [`SMALL_EVERY`]th item comes from the smallest batch, so that it doesn't starve behind a giant
//! one. See `docs/design/control.md`, "Batches".
//!
//! An item has its one final outcome when its result record stands, or when its batch is
//! cancelled and no record stands.

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
