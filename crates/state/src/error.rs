//! Errors of applying commands and reading state.

use std::fmt;

use clem_store::StoreError;

/// A storage failure. The process exits on it, and replays its log after the restart.
#[derive(Debug)]
pub enum StateError {
    /// The store returned an error.
    Store(StoreError),
    /// A record can't be decoded: the store is damaged.
    Damaged {
        /// The record's key, with non-printable bytes escaped.
        key: String,
    },
}

/// The result of reading or changing the state.
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
