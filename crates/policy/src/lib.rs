//! Decision logic without I/O: rate limits, fair queues, routing, retries, admission and
//! placement.
//!
//! All functions are deterministic: the current time is an argument, and random numbers come from
//! a generator that the caller seeds.

pub mod bodies;
pub mod bucket;
pub mod connections;
pub mod dispatch;
pub mod fair;
pub mod limiter;
pub mod placement;
pub mod poison;
pub mod retry;
pub mod route;

mod admission;
mod balance;
mod cost_model;
mod log_pace;
mod refusal_log;
mod retention;
mod tail;

pub use admission::{Admission, JobAction, JobId, OnlineRequest, QueueFull, Settings};
pub use balance::Balance;
pub use cost_model::CostModel;
pub use log_pace::LogPace;
pub use refusal_log::RefusalLog;
