//! Harness of the process-level tests, which run real processes and inject real failures.
//!
//! [`Fleet`] starts control processes, entries, agents and fakes on reserved ports and kills only
//! these. A [`Process`] can be killed, frozen, resumed and restarted. A [`Relay`] proxies a TCP
//! path and can cut it, or hold, drop or delay the bytes of either direction. Tests wait for
//! conditions with [`eventually`] instead of sleeping, and check the results against the request
//! logs of the fakes.
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
mod malformed;
mod options;
mod process;
mod relay;
mod report;
mod requests;
mod wait;

pub use binaries::binary;
pub use chat::{chat, chat_body, expected, read_stream};
pub use fleet::{Fleet, Target};
pub use http::{Client, Reply, ReplyStream};
pub use malformed::{malformed_messages, send_malformed};
pub use options::{Options, TargetKind, TargetOptions};
pub use process::Process;
pub use relay::{Link, Relay};
pub use report::{report_bound, report_seed};
pub use requests::{RequestLine, read_requests};
pub use wait::{BOUND, eventually, eventually_value};

/// The result type of the harness and of the tests.
pub type Result<T> = eyre::Result<T>;
