//! Pure decisions: limits, fair queues, routing, retries, admission and placement.

mod admission;
mod balance;
mod pace;

pub use admission::{Admission, Full, JobId, Settings, Step};
pub use balance::Balance;
pub use pace::Pace;
