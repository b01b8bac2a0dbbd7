//! Why the log on disk can't be used.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

/// The result of using the log on disk.
pub type Result<T> = std::result::Result<T, DiskError>;

/// Why the log on disk can't be used; a process that meets one ends.
#[derive(Debug)]
pub enum DiskError {
    /// The system refused a read, write or sync. After a failed sync nothing is known of the
    /// pages written, so it is never tried again.
    Io {
        /// What was tried.
        action: &'static str,
        /// On which file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// Another process uses the folder.
    Locked(PathBuf),
    /// Something that was acknowledged is damaged.
    Damaged {
        /// In which file.
        path: PathBuf,
        /// Where, in bytes from its start.
        offset: u64,
        /// What is wrong there.
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

    /// Whether the disk is full.
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
