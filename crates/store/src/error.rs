//! What may go wrong in a store.

use std::fmt;

/// A failure of the store below the state machine.
///
/// None of them can be mended by a retry: after one, the process ends and starts again from
/// what is durable.
#[derive(Debug)]
pub struct StoreError {
    /// What was tried, for example `commit`.
    pub action: &'static str,
    /// What the storage library said.
    pub source: redb::Error,
}

impl StoreError {
    /// Turns an error of the storage library into ours, naming what was tried.
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

/// The result of an action on a store.
pub type Result<T> = std::result::Result<T, StoreError>;
