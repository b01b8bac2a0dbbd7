//! The leader's soft state: leases on the rules, the fleet view and rate token grants.
//!
//! It is not replicated. A new leader rebuilds it from the sync calls of the lease holders (entries
//! and agents). Nothing here does I/O or reads a clock.

mod fleet;
mod history;
mod leases;
mod state;

pub use fleet::{Fleet, PlatformVm, ViewInputs};
pub use history::History;
pub use leases::{LEASE, Leases};
pub use state::{LeaderState, SyncEffect};
