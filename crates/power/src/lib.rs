//! Losses of power and faulty disks, for tests.
//!
//! With the feature `power-loss` and a side folder in the variable `CLEM_POWER_FOLDER`, a process
//! journals there what it has not synced yet: the bytes that its writes replace, and the names that
//! it renames or removes. After a kill, [`restore`] undoes some of that. A [`DiskFault`] in the side
//! folder makes the disk hang or refuse writes.
//!
//! Without the feature there is no side folder, and the calls do nothing but the operation itself.

mod fault;
mod journal;
mod names;
mod restore;
mod side;

pub use fault::{DiskFault, is_full};
pub use journal::Journal;
pub use names::{remove, rename, sync_folder};
pub use restore::{Choice, restore};
pub use side::{VARIABLE, is_on};
