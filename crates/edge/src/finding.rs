//! Validation errors with the path of the offending value.

use std::fmt;

/// One validation error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the value, for example `routes[2].host`; empty for the whole input.
    pub path: String,
    /// What is wrong, as text for the operator or caller.
    pub reason: String,
}

/// Maximum number of validation errors that are reported together.
const FINDINGS_MAX: usize = 100;

/// The validation errors of an input, reported together so that one pass is enough to fix it. An input
/// with more than 100 of them has its first ones reported.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// In the order in which they were found.
    pub list: Vec<Finding>,
}

/// The result of parsing an input.
pub type Result<T> = std::result::Result<T, Findings>;

impl Findings {
    /// Adds a validation error, unless there are too many.
    pub fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        if self.list.len() >= FINDINGS_MAX {
            return;
        }
        self.list.push(Finding {
            path: path.into(),
            reason: reason.into(),
        });
    }

    /// Creates a list with a single validation error.
    pub fn single(path: impl Into<String>, reason: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(path, reason);
        findings
    }

    /// Returns `value` if there are no validation errors.
    ///
    /// # Errors
    /// The validation errors.
    pub fn into_result<T>(self, value: T) -> Result<T> {
        if self.list.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            let between = if index == 0 { "" } else { "; " };
            write!(f, "{between}{}: {}", finding.path, finding.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
