//! Errors of a store.

use std::fmt;

/// A failure of the storage library.
///
/// All are fatal and never retried: the process exits, and on the next start continues from the
/// durable state.
#[derive(Debug)]
pub struct StoreError {
    /// The operation that failed, for example `commit`.
    pub action: &'static str,
    /// The error of the storage library.
    pub source: redb::Error,
}

impl StoreError {
    /// Wraps an error of the storage library.
    pub(crate) fn new(action: &'static str, source: impl Into<redb::Error>) -> Self {
        Self {
            action,
            source: source.into(),
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store: {} failed: {}", self.action, self.source)
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// The result of an operation on a store.
pub type Result<T> = std::result::Result<T, StoreError>;
