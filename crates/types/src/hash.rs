//! BLAKE3 hashes of API keys and request bodies.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::{ParseError, Result};

macro_rules! hash {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name([u8; 32]);

        impl $name {
            /// Hashes `bytes` with BLAKE3.
            pub fn of(bytes: &[u8]) -> Self {
                Self(*blake3::hash(bytes).as_bytes())
            }

            /// Returns the raw 32 bytes of the hash.
            pub fn as_bytes(&self) -> &[u8; 32] {
                &self.0
            }
        }

        /// Compares in constant time, so that the time taken doesn't reveal how many bytes match.
        impl PartialEq for $name {
            fn eq(&self, other: &Self) -> bool {
                self.0.ct_eq(&other.0).into()
            }
        }

        impl std::hash::Hash for $name {
            fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
                self.0.hash(state);
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self> {
                blake3::Hash::from_hex(text)
                    .map(|hash| Self(*hash.as_bytes()))
                    .map_err(|_| ParseError::new($expected, "it is not 64 hexadecimal digits"))
            }
        }
    };
}

hash!(
    /// The hash of an API key; keys are stored only in this form.
    KeyHash, "key hash"
);
hash!(
    /// The hash of a request body, used to recognise a repeated request without storing its body.
    BodyHash, "body hash"
);
