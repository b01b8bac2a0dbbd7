//! Counters, versions and numeric ids as distinct types.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next number, saturating at the largest.
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
                    .map_err(|_| ParseError::new($expected, "it is not a number in range"))
            }
        }
    };
}

macro_rules! wide_id {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        /// Its text form is 32 hexadecimal digits.
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
                    return Err(ParseError::new($expected, "it is not 32 hexadecimal digits"));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| ParseError::new($expected, "it is not 32 hexadecimal digits"))
            }
        }
    };
}

number!(
    /// The version of the rules document or of the poison list; 0 is the empty one before the first
    /// change.
    Version, u64, "version"
);
number!(
    /// A generation of the fleet view; each term of the control leader starts a new one.
    Epoch, u64, "epoch"
);
number!(
    /// Identifies one run of a process; it changes with every restart.
    Incarnation, u64, "incarnation"
);
number!(
    /// The fencing token of an order, taken from its log index; targets reject orders with an older
    /// one.
    FenceNumber, u64, "fence number"
);
number!(
    /// The version of a model's weights.
    ModelVersion, u32, "model version"
);
number!(
    /// The position of an item in its batch, from 0.
    ItemIndex, u32, "item index"
);
number!(
    /// The number of a dispatch of a request or batch item; the first is 1.
    Attempt, u32, "attempt"
);
number!(
    /// A number of model tokens, of a prompt or of generated text.
    Tokens, u32, "token count"
);
wide_id!(
    /// The id of a request, chosen at random by the entry process that received it.
    RequestId, "request id"
);
wide_id!(
    /// The id of a batch, chosen at random by the entry process that received its upload.
    BatchId, "batch id"
);
