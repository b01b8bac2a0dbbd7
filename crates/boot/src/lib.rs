//! What every program does at its start: settings, logs, metrics, the admin page and the stop
//! signal.
//!
//! A program declares its flags as a [`Program`], reads them from the command line and the
//! environment, and takes typed values out of the [`Settings`]. Everything that is wrong is
//! collected and reported together; the process then exits with 2 and has started nothing.
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use clem_boot::{Flag, Program, Start};
//!
//! let program = Program::new("clem-demo", "Shows how settings are read.")
//!     .flag(Flag::new("listen", "IP:PORT", "The address to serve at.").required());
//! let Start::Run(mut settings) = program.read(["--listen", "127.0.0.1:0"], |_| None) else {
//!     panic!("no help was asked for");
//! };
//! let listen: Option<SocketAddr> = settings.take("listen");
//! settings.finish()?;
//! assert!(listen.is_some());
//! # Ok::<(), clem_boot::Findings>(())
//! ```

mod admin;
mod clock;
mod listen;
mod logs;
mod member;
mod program;
mod run;
mod settings;
mod stdout;
mod stop;

pub use admin::{Metrics, Readiness, admin_routes};
pub use clock::Clock;
pub use listen::{Listener, acceptor, bind, listen};
pub use logs::start_logs;
pub use member::{CommonSettings, take_level, take_secret};
pub use program::{Flag, Program, Start};
pub use run::{EXIT_FAILURE, EXIT_SETTINGS, run};
pub use settings::{Finding, Findings, Settings};
pub use stdout::start_stdout_logs;
pub use stop::stop_signal;
