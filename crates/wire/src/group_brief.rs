//! What a process knows of its group, in short for the log lines of its callers.

use serde::{Deserialize, Serialize};

/// Longest text, in bytes.
const BYTES_MAX: usize = 64;

/// What a process knows of its group, as the code that `docs/OPERATIONS.md` describes under "Who was
/// asked".
///
/// It is text, so that a caller of an earlier release shows facts that it doesn't know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String")]
pub struct GroupBrief(String);

impl GroupBrief {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for GroupBrief {
    /// Cuts the text off where it gets too long.
    fn from(mut text: String) -> Self {
        text.truncate(text.floor_char_boundary(BYTES_MAX));
        Self(text)
    }
}
