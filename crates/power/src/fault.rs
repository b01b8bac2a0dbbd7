//! Faults of a disk.

use std::{
    fs::{self, File},
    io::{self, ErrorKind},
    path::Path,
    thread,
    time::Duration,
};

use crate::side;

/// Time between two looks at a disk that hangs.
const POLL: Duration = Duration::from_millis(5);

/// A fault of a process's disk, while a file of its name is in the side folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    /// Writes and syncs wait.
    Hang,
    /// Writes fail, as on a disk without room.
    Full,
}

impl DiskFault {
    fn name(self) -> &'static str {
        match self {
            Self::Hang => "hang",
            Self::Full => "full",
        }
    }

    /// Begins the fault of the process with this side folder.
    ///
    /// # Errors
    /// A system call fails.
    pub fn begin(self, side: &Path) -> io::Result<()> {
        fs::create_dir_all(side)?;
        File::create(side.join(self.name())).map(drop)
    }

    /// Ends the fault, if there is one.
    ///
    /// # Errors
    /// A system call fails.
    pub fn end(self, side: &Path) -> io::Result<()> {
        match fs::remove_file(side.join(self.name())) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            Ok(()) | Err(_) => Ok(()),
        }
    }

    fn is_on(self) -> bool {
        side::folder().is_some_and(|side| side.join(self.name()).exists())
    }
}

/// Returns whether the disk refuses writes for lack of room.
#[inline]
pub fn is_full() -> bool {
    DiskFault::Full.is_on()
}

/// Waits while the disk hangs.
pub(crate) fn wait() {
    while DiskFault::Hang.is_on() {
        thread::sleep(POLL);
    }
}

/// Waits while the disk hangs; fails if it is full.
pub(crate) fn check_write() -> io::Result<()> {
    wait();
    if is_full() {
        return Err(ErrorKind::StorageFull.into());
    }
    Ok(())
}
