//! What is wrong with an input, with its place.

use std::fmt;

/// One thing that is wrong with an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it stands, for example `routes[2].host`.
    pub place: String,
    /// What is wrong.
    pub reason: String,
}

/// Everything that is wrong with an input; reported together, so that one reading mends it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// In the order in which they were made.
    pub list: Vec<Finding>,
}

/// The result of reading an input.
pub type Result<T> = std::result::Result<T, Findings>;

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, reason: impl Into<String>) {
        self.list.push(Finding {
            place: place.into(),
            reason: reason.into(),
        });
    }

    /// A single finding.
    pub fn one(place: impl Into<String>, reason: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(place, reason);
        findings
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// All findings.
    pub fn or<T>(self, value: T) -> Result<T> {
        if self.list.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, finding) in self.list.iter().enumerate() {
            let between = if place == 0 { "" } else { "; " };
            write!(f, "{between}{}: {}", finding.place, finding.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
