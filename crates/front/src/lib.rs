//! The caller-facing side of the direct path.
//!
//! See `docs/design/platform.md`.

mod answer;
mod attempt;
mod batch;
mod front;
mod handle;
mod program;
mod ready;
mod relay;
mod request;

pub use program::{FrontSettings, run};
