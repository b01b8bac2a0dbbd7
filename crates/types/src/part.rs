//! Ids of what requests may have in common.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

/// Bit that is set in the ids of whole requests, and in no others.
const WHOLE_BIT: u64 = 1 << 63;

/// Identifies what requests may have in common: a segment of a prompt, or a whole request that is sent
/// again.
///
/// It is a hash, as callers choose the names of parts. Its text form is 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl PartId {
    /// Hashes the fields that identify a part, in this order.
    pub fn of(fields: &[&[u8]]) -> Self {
        Self(hash(fields) & !WHOLE_BIT)
    }

    /// Hashes the fields that identify a whole request, in this order.
    pub fn of_whole(fields: &[&[u8]]) -> Self {
        Self(hash(fields) | WHOLE_BIT)
    }

    /// Whether this is the id of a whole request.
    pub fn is_whole(self) -> bool {
        self.0 & WHOLE_BIT != 0
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("part id", "it is not up to 16 hexadecimal digits"))
    }
}

fn hash(fields: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}
