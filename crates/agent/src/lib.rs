//! The agent: a sidecar process that runs next to each target and is the only path to it.
//!
//! Online requests arrive from entries as dispatches; batch items are leased from the control
//! leader. [`Core`] decides what runs, waits, is refused or stops. It does no I/O and takes the
//! current time as an argument. The other modules execute its [`Command`]s. See
//! `docs/design/agent.md`.
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
    core::{AttemptHistory, Command, Core, DispatchError, Job, JobState, Options, Source, Stop},
    program::{main_program, program},
};
