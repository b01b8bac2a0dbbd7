//! Newtypes for ids, counters, rates, hashes and time, shared by every crate.
//!
//! A value of one type can't be passed as another, such as a customer id as a model id. Each type
//! has one text form ([`Display`](std::fmt::Display) and [`FromStr`](std::str::FromStr)), which
//! settings, logs and the rules file all use. The terms are
//! defined in `docs/GLOSSARY.md`.
//!
//! ```
//! use clem_types::{CustomerId, Rate};
//!
//! let customer: CustomerId = "totara".parse()?;
//! let rate: Rate = "20/s".parse()?;
//! assert_eq!(format!("{customer} {rate}"), "totara 20/s");
//! # Ok::<(), clem_types::ParseError>(())
//! ```

mod hash;
mod key;
mod name;
mod number;
mod part;
mod rate;
mod time;

pub use hash::{BodyHash, KeyHash};
pub use key::Key;
pub use name::{
    AdapterId, CommandId, CustomerId, DataCentre, HolderId, KeyId, ModelId, PlacementId, RouteId,
    ServiceId, SoftwareVersion, TargetId,
};
pub use number::{
    Attempt, BatchId, Epoch, FenceNumber, Incarnation, ItemIndex, ModelVersion, RequestId, Tokens,
    Version,
};
pub use part::PartId;
pub use rate::Rate;
pub use time::{Time, UnixMillis};

use std::fmt;

/// The error of parsing a value from text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// The name of the expected type, for example `customer id`.
    pub expected: &'static str,
    /// What is wrong with the text, as a clause for an error message: `it is empty`.
    pub reason: &'static str,
}

impl ParseError {
    pub(crate) const fn new(expected: &'static str, reason: &'static str) -> Self {
        Self { expected, reason }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid {}: {}", self.expected, self.reason)
    }
}

impl std::error::Error for ParseError {}

/// The result of parsing a value from text.
pub type Result<T> = std::result::Result<T, ParseError>;
