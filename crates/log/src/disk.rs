//! The log on disk: what a member must not forget, in segment files of one folder.
//!
//! A folder holds
//! - `lock`, held for as long as the folder is open, so that it is never used twice at once;
//! - `identity`, the [`Identity`] drawn when the folder was new;
//! - `segment-N`, the segment files, numbered without gaps.
//!
//! A segment is a sequence of frames. A frame is what one group commit wrote and synced; see
//! [`frame`]. The next frame is written only when the former one is synced. So a damaged frame
//! with nothing valid behind it was never acknowledged, and is cut off; a damaged frame with a
//! valid one behind it, or in a segment that is not the last, had been acknowledged, and the
//! folder is refused.
//!
//! See `docs/DESIGN.md`, "Agreement".

mod error;
mod folder;
mod frame;
mod identity;
mod recover;
mod segment;
mod writer;

pub use error::{DiskError, Result};
pub use folder::{Folder, Recovered};
pub use identity::{Identity, read as read_identity};
pub use writer::{DiskEvent, Writer};
