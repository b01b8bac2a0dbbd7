//! A caller's key in the clear.

use std::{fmt, str::FromStr};

use rand::Rng;

use crate::{KeyHash, ParseError, Result};

/// What every key starts with, so that leaked keys can be searched for.
const PREFIX: &str = "clem_";
/// The longest text that is taken for a key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A caller's key in the clear: hashed at once, never kept, logged or sent on.
///
/// It has no `Serialize`, and its `Debug` shows nothing.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Draws a new key with 128 random bits.
    pub fn generate(rng: &mut impl Rng) -> Self {
        Self(format!("{PREFIX}{:032x}", rng.random::<u128>()))
    }

    /// The hash under which the rules know this key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(self.0.as_bytes())
    }

    /// The key itself, for the one place that prints a new key to its owner.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("hidden")
    }
}

impl FromStr for Key {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(ParseError::new("key", "it is empty or too long"));
        }
        Ok(Self(text.to_owned()))
    }
}
