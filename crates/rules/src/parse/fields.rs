//! The fields of one rule's table, taken out one by one.

use std::{collections::BTreeSet, fmt, ops::RangeInclusive, str::FromStr};

use toml_edit::{InlineTable, Value};

use crate::Finding;

use super::line::Line;

/// The fields of a rule that haven't been read yet.
pub(super) struct Fields<'a> {
    line: Line<'a>,
    table: &'a InlineTable,
    known: BTreeSet<&'static str>,
    findings: &'a mut Vec<Finding>,
}

/// A value with the line and byte where it stands.
pub(super) struct Placed<T> {
    pub(super) value: T,
    pub(super) place: Finding,
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

    /// Whether the rule has this field.
    pub(super) fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// A field that must be there, written as text.
    pub(super) fn required<T>(&mut self, name: &'static str) -> Option<Placed<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if !self.has(name) {
            self.known.insert(name);
            self.find_at(0, format!("the field {name} is missing"));
            return None;
        }
        self.text(name)
    }

    /// A field that may be missing, written as text.
    pub(super) fn text<T>(&mut self, name: &'static str) -> Option<Placed<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.take(name)?;
        let start = start(value);
        let Some(text) = value.as_str() else {
            self.find_at(start, format!("{name} is a text in quotes"));
            return None;
        };
        self.parse(name, text, start)
    }

    /// A field that may be missing, with a whole number in `range`.
    pub(super) fn number(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(name)?;
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        let found = number.filter(|n| range.contains(n));
        if found.is_none() {
            let message = format!(
                "{name} is a whole number from {} to {}",
                range.start(),
                range.end()
            );
            self.find_at(start(value), message);
        }
        found
    }

    /// A field that must be there, with a whole number in `range`.
    pub(super) fn required_number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        if !self.has(name) {
            self.known.insert(name);
            self.find_at(0, format!("the field {name} is missing"));
            return None;
        }
        self.number(name, range)
    }

    /// A field that is true or false, and `default` when it is missing.
    pub(super) fn flag(&mut self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.take(name) else {
            return default;
        };
        let Some(flag) = value.as_bool() else {
            self.find_at(start(value), format!("{name} is true or false"));
            return default;
        };
        flag
    }

    /// A field with a list of texts; empty when it is missing.
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
            self.find_at(start(value), format!("{name} is a list of texts"));
            return values;
        };
        for entry in list {
            let Some(text) = entry.as_str() else {
                self.find_at(start(entry), format!("{name} is a list of texts"));
                continue;
            };
            let Some(placed) = self.parse::<T>(name, text, start(entry)) else {
                continue;
            };
            if values.contains(&placed.value) {
                self.find_at(start(entry), format!("{name} has {text:?} twice"));
                continue;
            }
            values.push(placed.value);
        }
        values
    }

    /// Adds a finding at a field, or at the start of the line when it is missing.
    pub(super) fn find(&mut self, name: &str, message: impl Into<String>) {
        let offset = self.table.get(name).map_or(0, start);
        self.find_at(offset, message);
    }

    /// Ends the reading: every field that hasn't been asked for is unknown.
    pub(super) fn finish(self) {
        for (name, _) in self.table {
            if self.known.contains(name) {
                continue;
            }
            let span = self.table.key(name).and_then(toml_edit::Key::span);
            let offset = span.map_or(0, |span| span.start);
            let message = format!("there is no field {name} in such a rule");
            self.findings.push(self.line.finding(offset, message));
        }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.insert(name);
        self.table.get(name)
    }

    fn parse<T>(&mut self, name: &str, text: &str, start: usize) -> Option<Placed<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(Placed {
                value,
                place: self.line.finding(start, ""),
            }),
            Err(error) => {
                // A key in the clear that was put in the place of its hash is not shown.
                let shown = if name == "blake3" { "this" } else { text };
                self.find_at(start, format!("{name} can't be {shown:?}: {error}"));
                None
            }
        }
    }

    fn find_at(&mut self, offset: usize, message: impl Into<String>) {
        self.findings.push(self.line.finding(offset, message));
    }
}

fn start(value: &Value) -> usize {
    value.span().map_or(0, |span| span.start)
}
