//! One key with its value.

use bytes::Bytes;

/// One key with its value, as a scan returns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key; keys are ordered by their bytes.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
}

impl Pair {
    /// The bytes of key and value together.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }
}
