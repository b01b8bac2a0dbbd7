//! Typed access to the settings of a process, and the findings about invalid ones.

use std::{collections::BTreeMap, fmt, str::FromStr};

/// A problem with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The flag, argument or environment variable that the finding is about.
    pub place: String,
    /// The problem, as shown to the operator.
    pub reason: String,
}

impl Finding {
    /// Creates a finding about the flag, argument or variable `place`.
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            reason: reason.into(),
        }
    }
}

/// All problems with the settings, as the error with which the program exits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings {
    program: &'static str,
    findings: Vec<Finding>,
}

impl Findings {
    /// The findings in the order in which they were added.
    pub fn all(&self) -> &[Finding] {
        &self.findings
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{}: {}: {}", self.program, finding.place, finding.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// The given values of all flags. Each value is parsed when it is taken.
#[derive(Debug)]
pub struct Settings {
    program: &'static str,
    given: BTreeMap<&'static str, Vec<String>>,
    findings: Vec<Finding>,
}

impl Settings {
    pub(crate) fn new(
        program: &'static str,
        given: BTreeMap<&'static str, Vec<String>>,
        findings: Vec<Finding>,
    ) -> Self {
        Self {
            program,
            given,
            findings,
        }
    }

    /// Takes the value of a flag. Returns `None` if it was not given or is invalid; an invalid
    /// value adds a finding.
    pub fn take<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.take_all(name).pop()
    }

    /// Takes all valid values of a repeated flag; each invalid one adds a finding.
    pub fn take_all<T>(&mut self, name: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let mut values = Vec::new();
        for text in self.given.remove(name).unwrap_or_default() {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.add_finding(name, format!("invalid value {text:?}: {error}")),
            }
        }
        values
    }

    /// Adds a finding about the flag `name`.
    pub fn add_finding(&mut self, name: &'static str, reason: impl Into<String>) {
        self.findings
            .push(Finding::new(format!("--{name}"), reason));
    }

    /// Finishes reading the settings.
    ///
    /// # Errors
    /// All findings, if there are any.
    pub fn finish(self) -> Result<(), Findings> {
        if self.findings.is_empty() {
            return Ok(());
        }
        Err(Findings {
            program: self.program,
            findings: self.findings,
        })
    }
}
