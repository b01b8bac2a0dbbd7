//! The room on the file system of a data folder.

use std::{fmt, io, path::Path};

/// Tells how much room there is for a data folder.
pub trait RoomProbe: fmt::Debug + Send + Sync {
    /// Returns the bytes available in `folder`.
    ///
    /// # Errors
    /// The system call fails.
    fn free_bytes(&self, folder: &Path) -> io::Result<u64>;
}

/// The room that the folder's file system reports.
#[derive(Debug, Clone, Copy)]
pub struct FileSystem;

impl RoomProbe for FileSystem {
    fn free_bytes(&self, folder: &Path) -> io::Result<u64> {
        if clem_power::is_full() {
            return Ok(0);
        }
        let free = nix::sys::statvfs::statvfs(folder)?;
        Ok(free.blocks_available().saturating_mul(free.fragment_size()))
    }
}
