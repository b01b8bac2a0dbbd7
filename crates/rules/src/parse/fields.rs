//! Typed access to the fields of one rule's table.

use std::{collections::BTreeSet, fmt, ops::RangeInclusive, str::FromStr};

use toml_edit::{InlineTable, Value};

use crate::Finding;

use super::line::Line;

/// Reads the fields of a rule and records which names are known, so that [`Fields::finish`] can
/// report the others.
pub(super) struct Fields<'a> {
    line: Line<'a>,
    table: &'a InlineTable,
    known: BTreeSet<&'static str>,
    findings: &'a mut Vec<Finding>,
}

/// A value with its position in the file: a finding without a message.
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) position: Finding,
}

impl<'a> Fields<'a> {
    pub(super) fn new(
        line: Line<'a>,
        table: &'a InlineTable,
        findings: &'a mut Vec<Finding>,
    ) -> Self {
        Self {
            line,
            table,
            known: BTreeSet::new(),
            findings,
        }
    }

    /// Whether the field is present.
    pub(super) fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Reads a required field that is written as a string.
    pub(super) fn required<T>(&mut self, name: &'static str) -> Option<Located<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if !self.has(name) {
            self.known.insert(name);
            self.add_finding_at(0, format!("the field {name} is missing"));
            return None;
        }
        self.text(name)
    }

    /// Reads an optional field that is written as a string.
    pub(super) fn text<T>(&mut self, name: &'static str) -> Option<Located<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.take(name)?;
        let start = start(value);
        let Some(text) = value.as_str() else {
            self.add_finding_at(start, format!("{name} must be a string in quotes"));
            return None;
        };
        self.parse(name, text, start)
    }

    /// Reads an optional whole number in `range`.
    pub(super) fn number(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(name)?;
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        let found = number.filter(|n| range.contains(n));
        if found.is_none() {
            let message = format!(
                "{name} must be a whole number from {} to {}",
                range.start(),
                range.end()
            );
            self.add_finding_at(start(value), message);
        }
        found
    }

    /// Reads a required whole number in `range`.
    pub(super) fn required_number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        if !self.has(name) {
            self.known.insert(name);
            self.add_finding_at(0, format!("the field {name} is missing"));
            return None;
        }
        self.number(name, range)
    }

    /// Reads an optional boolean; `default` if it is missing or invalid.
    pub(super) fn flag(&mut self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.take(name) else {
            return default;
        };
        let Some(flag) = value.as_bool() else {
            self.add_finding_at(start(value), format!("{name} must be true or false"));
            return default;
        };
        flag
    }

    /// Reads an optional list of strings without duplicates; empty if it is missing.
    pub(super) fn list<T>(&mut self, name: &'static str) -> Vec<T>
    where
        T: FromStr + PartialEq,
        T::Err: fmt::Display,
    {
        let mut values = Vec::new();
        let Some(value) = self.take(name) else {
            return values;
        };
        let Some(list) = value.as_array() else {
            self.add_finding_at(start(value), format!("{name} must be a list of strings"));
            return values;
        };
        for entry in list {
            let Some(text) = entry.as_str() else {
                self.add_finding_at(start(entry), format!("{name} must be a list of strings"));
                continue;
            };
            let Some(located) = self.parse::<T>(name, text, start(entry)) else {
                continue;
            };
            if values.contains(&located.value) {
                self.add_finding_at(start(entry), format!("{name} contains {text:?} twice"));
                continue;
            }
            values.push(located.value);
        }
        values
    }

    /// Adds a finding at a field, or at the start of the line if the field is missing.
    pub(super) fn add_finding(&mut self, name: &str, message: impl Into<String>) {
        let offset = self.table.get(name).map_or(0, start);
        self.add_finding_at(offset, message);
    }

    /// Reports every field that was not read as unknown.
    pub(super) fn finish(self) {
        for (name, _) in self.table {
            if self.known.contains(name) {
                continue;
            }
            let span = self.table.key(name).and_then(toml_edit::Key::span);
            let offset = span.map_or(0, |span| span.start);
            let message = format!("unknown field {name} for this kind of rule");
            self.findings.push(self.line.finding(offset, message));
        }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.insert(name);
        self.table.get(name)
    }

    fn parse<T>(&mut self, name: &str, text: &str, start: usize) -> Option<Located<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(Located {
                value,
                position: self.line.finding(start, ""),
            }),
            Err(error) => {
                // The value may be a plaintext key that was entered in place of its hash.
                let shown = if name == "blake3" { "(hidden)" } else { text };
                self.add_finding_at(start, format!("{name}: {shown:?} can't be used: {error}"));
                None
            }
        }
    }

    fn add_finding_at(&mut self, offset: usize, message: impl Into<String>) {
        self.findings.push(self.line.finding(offset, message));
    }
}

fn start(value: &Value) -> usize {
    value.span().map_or(0, |span| span.start)
}
