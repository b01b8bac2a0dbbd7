//! Reads a rules file and checks it as a whole.
//!
//! A parser of whole TOML files stops at its first syntax error. As each rule is one line, the
//! lines are parsed one by one, so that all findings come together. See `docs/OPERATING.md`.

mod fields;
mod line;
mod links;
mod rule;
mod span;

use std::collections::BTreeMap;

use clem_types::RulesVersion;

use crate::{Finding, RuleName, Rules};

use line::{Line, read_line};
use links::Links;

/// The result of reading a whole file.
type Result<T> = std::result::Result<T, Vec<Finding>>;

/// Reads a rules file into the checked set of that version.
///
/// # Errors
/// Everything that is wrong in the file, in the order of the places; nothing is to be applied
/// then.
pub fn parse(text: &str, version: RulesVersion) -> Result<Rules> {
    let mut findings = Vec::new();
    let mut rules = Rules::default();
    let mut links = Links::default();
    let mut seen: BTreeMap<RuleName, u32> = BTreeMap::new();
    for (number, source) in (1..).zip(text.lines()) {
        let line = Line { number, source };
        let Some(read) = read_line(line, &mut findings, &mut links) else {
            continue;
        };
        if let Some(first) = seen.insert(read.name.clone(), number) {
            let message = format!("{} stands in line {first} already", read.name);
            findings.push(line.finding(0, message));
            continue;
        }
        let Some(rule) = read.rule else {
            continue;
        };
        rules.put(read.name, rule);
    }
    links.check(&rules, &seen, &mut findings);
    if findings.is_empty() {
        return Ok(rules.with_version(version));
    }
    findings.sort();
    Err(findings)
}
