//! The process beside each target: the only way to it.
//!
//! Requests come from entries as dispatches, batch items from the control leader as leases. The
//! [`Core`] decides, without I/O and with the time as an argument, what runs, waits, is refused or
//! stops; the other modules carry its [`Command`]s out. See `docs/design/agent.md`.
//!
//! ```
//! use clem_agent::{Core, Options};
//! use clem_types::Time;
//!
//! let core = Core::new(Options::default());
//! assert!(!core.has_lease(Time::ZERO));
//! ```

mod agent;
mod batch;
mod body;
mod core;
mod dispatch;
mod drive;
mod engine;
mod item;
mod online;
mod orders;
mod program;
mod sse;
mod stop;
mod sync;
mod watch;

pub use crate::{
    body::prepare,
    core::{Command, Core, FenceBook, Job, JobState, Options, Refusal, Source, Stop},
    program::{main_program, program},
};
