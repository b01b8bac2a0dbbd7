//! Numbers that must not be mixed up.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $wanted:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows this one; the largest stays where it is.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseError::new($wanted, "it is not a number in range"))
            }
        }
    };
}

macro_rules! wide_id {
    ($(#[$doc:meta])* $name:ident, $wanted:literal) => {
        $(#[$doc])*
        /// Written as 32 hexadecimal digits.
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self> {
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(ParseError::new($wanted, "it is not 32 hexadecimal digits"));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| ParseError::new($wanted, "it is not 32 hexadecimal digits"))
            }
        }
    };
}

number!(
    /// The version of the rules; 0 is the empty set before the first change.
    RulesVersion, u64, "version"
);
number!(
    /// A generation of the fleet view; it starts anew with each control leader's term.
    Epoch, u64, "epoch"
);
number!(
    /// One life of a process; a process that starts again has another one.
    Incarnation, u64, "incarnation"
);
number!(
    /// The number of an order, taken from the log; a target obeys no older one.
    FenceNumber, u64, "fence number"
);
number!(
    /// The version of a model's weights.
    ModelVersion, u32, "model version"
);
number!(
    /// The place of an item in its batch, from 0.
    ItemIndex, u32, "item index"
);
number!(
    /// How often a request or item has been dispatched, from 1 for the first time.
    Attempt, u32, "attempt"
);
number!(
    /// A count of model tokens.
    Tokens, u32, "token count"
);
wide_id!(
    /// A request, drawn at random by the entry that took it in.
    RequestId, "request id"
);
wide_id!(
    /// A batch.
    BatchId, "batch id"
);
