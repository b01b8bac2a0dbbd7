//! Validation errors of a rules file, with their position.

use std::fmt;

/// One validation error of a rules file. Findings are ordered by position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The line number, counted from 1.
    pub line: u32,
    /// The column, counted in characters from 1.
    pub column: u32,
    /// The error message, shown to the operator.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}
