//! What may go wrong while a command is applied.

use std::fmt;

use clem_store::StoreError;

/// A failure below the state machine; the process ends on it and starts again from its log.
#[derive(Debug)]
pub enum StateError {
    /// The store failed.
    Store(StoreError),
    /// A record can't be read back: the store is damaged.
    Damaged {
        /// The record's key, with unprintable bytes escaped.
        key: String,
    },
}

/// The result of an action on the state.
pub type Result<T> = std::result::Result<T, StateError>;

impl From<StoreError> for StateError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Damaged { key } => write!(f, "the record at {key} is damaged"),
        }
    }
}

impl std::error::Error for StateError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Store(error) => Some(error),
            Self::Damaged { .. } => None,
        }
    }
}
