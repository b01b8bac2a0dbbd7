//! Holds the bodies of callers in the bytes that a process has for them: the requests that it reads, and the
//! responses that it has complete. See `docs/design/bodies.md`.

mod error;
mod read;
mod store;

pub use error::{BodyError, Result};
pub use read::{BodyLimits, read_body};
pub use store::{BodyPlace, BodyStore};
