//! The load generator: open-loop load, verified responses, histograms and reports.
//!
//! Arrivals are drawn from a seed before a run, and sent when they are due, whether or not earlier
//! responses have arrived (open loop). Latencies are measured from the due time, so that a stall
//! counts for every request that it delays, which avoids coordinated omission. Each response is
//! compared with the one that the fake engine must give.
//!
//! ```
//! use std::time::Duration;
//!
//! use clem_load::{Scenario, plan};
//!
//! let shape = Scenario::Kahikatea.shape();
//! let arrivals = plan(&shape, Duration::from_secs(10), 2, 7);
//! assert_eq!(arrivals, plan(&shape, Duration::from_secs(10), 2, 7));
//! ```

mod batch;
mod chart;
mod client;
mod direct;
mod fleet;

mod plan;
mod prompt;
mod report;
mod run;
mod scenario;
mod stats;
mod token_bucket;

pub use batch::{BatchTally, batch_lines, check_results};
pub use chart::draw;
pub use client::{Client, Outcome};
pub use direct::{DirectOptions, DirectReport, run_direct};
pub use fleet::{FleetFile, load_fleet};
pub use plan::{Arrival, plan};
pub use prompt::{Prompt, StreamChecker, check_plain, check_streamed, request_body};
pub use report::{CustomerReport, Latencies, PhaseReport, Report};
pub use run::{RunOptions, run};
pub use scenario::{CustomerShape, Scenario, Shape};
pub use stats::{CustomerStats, PhaseStats};
pub use token_bucket::TokenBucket;

/// The result type of this crate.
pub type Result<T> = eyre::Result<T>;
