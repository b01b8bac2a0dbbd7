//! Parses and validates a whole rules file.
//!
//! A TOML parser stops at the first syntax error in its input. Since each rule is one line, every
//! line is parsed as a document of its own, so that all errors are reported at once. See
//! `docs/OPERATING.md`.

mod constraints;
mod duration;
mod fields;
mod line;
mod rule;

use std::collections::BTreeMap;

use clem_types::Version;

use crate::{Finding, RuleName, Rules};

use constraints::Constraints;
use line::{Line, read_line};

/// The result of parsing a whole file.
type Result<T> = std::result::Result<T, Vec<Finding>>;

/// Parses a rules file into a rule set with the given version.
///
/// # Errors
/// Returns all findings of the file, ordered by position.
pub fn parse(text: &str, version: Version) -> Result<Rules> {
    let mut findings = Vec::new();
    let mut rules = Rules::default();
    let mut constraints = Constraints::default();
    let mut seen: BTreeMap<RuleName, u32> = BTreeMap::new();
    for (number, source) in (1..).zip(text.lines()) {
        let line = Line { number, source };
        let Some(read) = read_line(line, &mut findings, &mut constraints) else {
            continue;
        };
        if let Some(first) = seen.insert(read.name.clone(), number) {
            let message = format!("{} is already defined on line {first}", read.name);
            findings.push(line.finding(0, message));
            continue;
        }
        let Some(rule) = read.rule else {
            continue;
        };
        rules.insert(read.name, rule);
    }
    constraints.check(&rules, &seen, &mut findings);
    if findings.is_empty() {
        return Ok(rules.with_version(version));
    }
    findings.sort();
    Err(findings)
}
