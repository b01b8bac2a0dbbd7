//! Errors of the log on disk.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

/// The result of an operation on the log on disk.
pub type Result<T> = std::result::Result<T, DiskError>;

/// An error of the log on disk; all of them are fatal to the process.
#[derive(Debug)]
pub enum DiskError {
    /// A system call failed. A failed sync is never retried, as the state of the written pages is
    /// then unknown.
    Io {
        /// The operation, as a verb for the error message: `sync`.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// Another process has the folder open.
    Locked(PathBuf),
    /// Data that was acknowledged is damaged or missing.
    Damaged {
        /// The damaged file, or the folder if no single file is at fault.
        path: PathBuf,
        /// The offset of the damage, in bytes.
        offset: u64,
        /// What is wrong, as a clause for the error message.
        reason: &'static str,
    },
}

impl DiskError {
    pub(super) fn io(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |error| Self::Io {
            action,
            path,
            error,
        }
    }

    pub(super) fn damaged(path: &Path, offset: u64, reason: &'static str) -> Self {
        Self::Damaged {
            path: path.to_owned(),
            offset,
            reason,
        }
    }

    /// Returns whether the file system is out of space.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Io { error, .. } => error.kind() == io::ErrorKind::StorageFull,
            Self::Locked(_) | Self::Damaged { .. } => false,
        }
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io {
                action,
                path,
                error,
            } => {
                write!(f, "can't {action} {}: {error}", path.display())
            }
            Self::Locked(path) => {
                write!(f, "{} is in use by another process", path.display())
            }
            Self::Damaged {
                path,
                offset,
                reason,
            } => {
                write!(
                    f,
                    "{} is damaged at byte {offset}: {reason}",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for DiskError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { error, .. } => Some(error),
            Self::Locked(_) | Self::Damaged { .. } => None,
        }
    }
}
