//! Key-value pairs.

use bytes::Bytes;

/// A key with its value, as returned by a scan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key; keys are ordered bytewise.
    pub key: Bytes,
    /// The value, which the store doesn't interpret.
    pub value: Bytes,
}

impl Pair {
    /// Returns the size of key and value together, in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }
}
