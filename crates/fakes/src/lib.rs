//! Fakes of the external systems, for tests, measurements and the demo.
//!
//! The library has the parts that tests use without a process: the batching [`model`] of the
//! engine, which can be driven in virtual time, the deterministic [`tokens`] of its answers, and
//! the [`prefix`] block hashes.
//!
//! ```
//! use clem_fake::{model::{Engine, Options, Output, Work}, prefix, tokens};
//! use clem_types::Time;
//!
//! let prompt = tokens::prompt_text([("user", "hello")]);
//! let mut engine = Engine::new(Options::default());
//! engine.submit(Time::ZERO, Work::new("r1", prefix::Prompt::new("", &prompt), 2))?;
//! let mut sent = 0;
//! while let Some(wake) = engine.next_wake() {
//!     for output in engine.advance(wake) {
//!         sent += usize::from(matches!(output, Output::Token { .. }));
//!     }
//! }
//! assert_eq!(sent, 2);
//! # Ok::<(), clem_fake::model::SubmitError>(())
//! ```

pub mod model;
mod ports;
pub mod prefix;
pub mod tokens;

pub use ports::ReservedPort;
