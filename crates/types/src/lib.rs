//! Newtypes for ids, sizes, rates and time, shared by every crate.
//!
//! A value of one kind can't be passed for another, and each has one text form
//! ([`Display`](std::fmt::Display) and [`FromStr`](std::str::FromStr)) used in settings, logs
//! and the rules file alike. The words are explained in `docs/GLOSSARY.md`.
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
mod rate;
mod time;

pub use hash::{BodyHash, KeyHash};
pub use key::Key;
pub use name::{
    AdapterId, CommandId, CustomerId, DataCentre, HolderId, KeyId, ModelId, PlacementId, RouteId,
    ServiceId, TargetId,
};
pub use number::{
    Attempt, BatchId, Epoch, FenceNumber, Incarnation, ItemIndex, ModelVersion, RequestId,
    RulesVersion, Tokens,
};
pub use rate::Rate;
pub use time::{Time, UnixMillis};

use std::fmt;

/// Why a text is not a value of the wanted type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// What was wanted, for example `customer id`.
    pub wanted: &'static str,
    /// What is wrong with the text, as a phrase for an operator.
    pub reason: &'static str,
}

impl ParseError {
    pub(crate) const fn new(wanted: &'static str, reason: &'static str) -> Self {
        Self { wanted, reason }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a {}: {}", self.wanted, self.reason)
    }
}

impl std::error::Error for ParseError {}

/// The result of reading one value from text.
pub type Result<T> = std::result::Result<T, ParseError>;
