//! The settings of a process, and everything that is wrong with them.

use std::{collections::BTreeMap, fmt, str::FromStr};

/// One thing that is wrong with the settings, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The flag, variable or file.
    pub place: String,
    /// What is wrong, for the operator.
    pub reason: String,
}

impl Finding {
    /// A finding at `place`.
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            reason: reason.into(),
        }
    }
}

/// All findings of a start that did not happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings {
    program: &'static str,
    findings: Vec<Finding>,
}

impl Findings {
    /// The findings in the order in which they were made.
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

/// The values that were given, taken out one by one.
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

    /// Takes the value of a flag; none when it was not given or is wrong, which is then found.
    pub fn take<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.take_all(name).pop()
    }

    /// Takes all values of a repeated flag.
    pub fn take_all<T>(&mut self, name: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let mut values = Vec::new();
        for text in self.given.remove(name).unwrap_or_default() {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.add_finding(name, format!("{text:?} can't be used: {error}")),
            }
        }
        values
    }

    /// Adds a finding at the flag `name`.
    pub fn add_finding(&mut self, name: &'static str, reason: impl Into<String>) {
        self.findings
            .push(Finding::new(format!("--{name}"), reason));
    }

    /// Ends the reading.
    ///
    /// # Errors
    /// All findings, where there are any.
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
