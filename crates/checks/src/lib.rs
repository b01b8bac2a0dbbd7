//! The harness of the process-level tests: real processes, real failures, judged by the fakes' own record.
//!
//! [`Fleet`] starts control processes, entries, agents and fakes on reserved ports and ends exactly these.
//! A [`Process`] can be killed, stopped, continued and started again; a [`Relay`] stands in a TCP path and cuts,
//! holds or delays either direction. Tests wait for conditions with [`eventually`], never for a time.
//!
//! ```no_run
//! use clem_checks::{Fleet, Options, chat};
//!
//! # async fn test() -> eyre::Result<()> {
//! let fleet = Fleet::start(Options::default()).await?;
//! let reply = chat(&fleet, 0, "totara", "hello", 4).await?;
//! assert_eq!(reply.status, 200);
//! # Ok(())
//! # }
//! ```

mod binaries;
mod chat;
mod fleet;
mod http;
mod options;
mod process;
mod relay;
mod report;
mod requests;
mod wait;

pub use binaries::binary;
pub use chat::{chat, chat_body, expected, streamed};
pub use fleet::{Fleet, Target};
pub use http::{Client, Reply, ReplyStream};
pub use options::{Options, TargetKind, TargetOptions};
pub use process::Process;
pub use relay::{Link, Relay};
pub use report::{report_bound, report_seed};
pub use requests::{RequestLine, read_requests};
pub use wait::{BOUND, eventually, eventually_value};

/// The result of a step of a test.
pub type Result<T> = eyre::Result<T>;
