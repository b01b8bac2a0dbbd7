//! Why a body is not taken.

use std::fmt;

/// Why a body is not taken; its request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than a body may be.
    TooLong,
    /// It did not arrive in time.
    Slow,
    /// There is no room for it now.
    NoRoom,
    /// Its caller disconnected or sent invalid HTTP.
    Broken,
}

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "too_long",
            Self::Slow => "body_slow",
            Self::NoRoom => "body_room",
            Self::Broken => "malformed",
        })
    }
}

impl std::error::Error for BodyError {}
