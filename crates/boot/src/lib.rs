//! Startup code shared by all programs: settings, logging, metrics, admin endpoints and the stop
//! signal.
//!
//! A program declares its flags in a [`Program`], parses the command line and the environment, and
//! takes typed values from the resulting [`Settings`]. All invalid settings are reported together;
//! the process then exits with code 2 before it has started anything.
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use clem_boot::{CliAction, Flag, Program};
//!
//! let program = Program::new("clem-demo", "Shows how settings are read.")
//!     .flag(Flag::new("listen", "IP:PORT", "Address to listen on.").required());
//! let CliAction::Run(mut settings) = program.read(["--listen", "127.0.0.1:0"], |_| None) else {
//!     panic!("no help was asked for");
//! };
//! let listen: Option<SocketAddr> = settings.take("listen");
//! settings.finish()?;
//! assert!(listen.is_some());
//! # Ok::<(), clem_boot::Findings>(())
//! ```

mod admin;
mod clock;
mod common;
mod listen;
mod logs;
mod program;
mod run;
mod settings;
mod stdout;
mod stop;
mod vital;

pub use admin::{Metrics, Readiness, admin_routes, metrics_route};
pub use clock::Clock;
pub use common::{CommonSettings, take_level, take_secret};
pub use listen::{Listener, acceptor, bind, listen};
pub use logs::start_logs;
pub use program::{CliAction, Flag, Program};
pub use run::{EXIT_FAILURE, EXIT_SETTINGS, run};
pub use settings::{Finding, Findings, Settings};
pub use stdout::start_stdout_logs;
pub use stop::stop_signal;
pub use vital::{panic_message, spawn_vital};
