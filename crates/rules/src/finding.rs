//! What is wrong in a rules file, with its place.

use std::fmt;

/// Something wrong in a rules file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The line, from 1.
    pub line: u32,
    /// The column, from 1, counted in characters.
    pub column: u32,
    /// What is wrong, for the operator.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}
