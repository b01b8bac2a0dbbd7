//! The log on disk: the durable state of a member, in the segment files of one folder.
//!
//! A folder contains
//! - `lock`, locked while the folder is open, so that only one process uses it;
//! - `identity`, the [`Identity`] chosen when the folder was created;
//! - `segment-N`, the segment files, numbered without gaps.
//!
//! A segment is a sequence of frames, each written and synced by one group commit; see `frame`.
//! A frame is written only after the previous one is synced. So a damaged frame at the end of the
//! last segment was never acknowledged, and it is truncated. A damaged frame that is followed by a
//! valid one, or that is in an earlier segment, was acknowledged, and opening the folder fails.
//!
//! See `docs/DESIGN.md`, "Agreement".

mod error;
mod folder;
mod frame;
mod identity;
mod recover;
mod room;
mod segment;
mod writer;

pub use error::{DiskError, Result};
pub use folder::{Folder, Recovered};
pub use identity::{Identity, read as read_identity};
pub use room::{FileSystem, RoomProbe};
pub use writer::{DiskEvent, Writer};
