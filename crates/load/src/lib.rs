//! The load generator: open-loop load, checked answers, histograms and reports.
//!
//! Arrivals are drawn from a seed before a run and sent when they are due, whether or not earlier answers have come
//! (open loop); every latency counts from the due time, so that a stall is felt by all requests that it delays (no
//! coordinated omission). Each answer is compared with the one that the fake engine must give.
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

mod answer;
mod batch;
mod chart;
mod client;
mod direct;
mod fleet;
mod judge;
mod plan;
mod report;
mod run;
mod scenario;
mod stats;

pub use answer::{Answer, Reading, check_plain, check_streamed, request_body};
pub use batch::{BatchTally, check_results, lines};
pub use chart::draw;
pub use client::{Client, Outcome};
pub use direct::{DirectOptions, DirectReport, run_direct};
pub use fleet::{FleetFile, load_fleet};
pub use judge::Judge;
pub use plan::{Arrival, plan};
pub use report::{CustomerReport, Latencies, PhaseReport, Report};
pub use run::{RunOptions, run};
pub use scenario::{CustomerShape, Scenario, Shape};
pub use stats::{CustomerStats, PhaseStats};

/// The result of a step of a run.
pub type Result<T> = eyre::Result<T>;
