//! Holds the bodies of callers in the bytes that a process has for them: the requests that it reads, and the
//! responses that it has complete. The large calls of other processes wait for room as a whole. See `docs/design/bodies.md`.

mod call_room;
mod connections;
mod error;
mod linked_body;
mod read;
mod store;

pub use call_room::{CallPermit, CallRoom};
pub use connections::{ConnectionList, ConnectionPlace};
pub use error::{BodyError, Result};
pub use linked_body::LinkedBody;
pub use read::{BodyLimits, read_body};
pub use store::{BodyPlace, BodyStore};
