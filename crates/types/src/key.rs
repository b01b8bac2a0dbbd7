//! API keys in plain text.

use std::{fmt, str::FromStr};

use rand::Rng;

use crate::{KeyHash, ParseError, Result};

/// The prefix of generated keys, by which secret scanners can find leaked ones.
const PREFIX: &str = "clem_";
/// The longest text accepted as a key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An API key in plain text; it is hashed on arrival and never stored, logged or forwarded.
///
/// It doesn't implement `Serialize`, and its `Debug` and `Display` output omit the key.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Generates a key with 128 random bits.
    pub fn generate(rng: &mut impl Rng) -> Self {
        Self(format!("{PREFIX}{:032x}", rng.random::<u128>()))
    }

    /// Returns the hash that the rules list for this key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(self.0.as_bytes())
    }

    /// Returns the plain text; only for showing a newly generated key to its owner.
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
