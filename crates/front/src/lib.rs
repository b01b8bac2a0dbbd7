//! The caller-facing side of the direct path.
//!
//! See `docs/design/platform.md`.

mod attempt;
mod batch;
mod body;
mod caller;
mod front;
mod handle;
mod held;
mod program;
mod ready;
mod relay;
mod request;

pub use program::{FrontSettings, run};
