//! What the leader knows besides the replicated state: leases, the fleet, and grants.
//!
//! All of it is lost when leadership changes, and built anew from what holders say. Nothing here
//! does I/O or reads a clock.

mod fleet;
mod history;
mod leases;
mod soft;

pub use fleet::{Facts, Fleet, PlatformVm};
pub use history::History;
pub use leases::{LEASE, Leases};
pub use soft::{Heard, Lead};
