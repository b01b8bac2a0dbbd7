//! The entry for callers: authentication, rate limits, routing, dispatch and relay.
//!
//! A request passes a chain of filters: [`filter`] authenticates and admits it, parses and strips
//! it, finds its route, and takes a token from its customer's rate limit. Then [`job`] picks a
//! target, dispatches the request to that target's agent and relays the answer. An entry has no
//! durable state; its rules and fleet view come from the control leader under a lease, see
//! [`sync`]. The routing, rate and retry policies are in `clem-policy`.
//!
//! ```no_run
//! std::process::exit(i32::from(
//!     clem_boot::run("clem-entry", clem_entry::program()) != std::process::ExitCode::SUCCESS,
//! ));
//! ```

mod agent;
mod answer;
mod batch;
mod body;
mod caller;
mod connections;
mod entry;
mod filter;
mod gate;
mod job;
mod missing;
mod once;
mod program;
mod refusal;
mod relay;
mod resolve;
mod strip;
mod sync;
mod work;

pub use program::program;
pub use strip::{strip_headers, strip_query};
