//! Parses one line of the file: rule name, table and comment.

use toml_edit::{Document, InlineTable, Item, Key, Table, TomlError, Value};

use crate::{Finding, Rule, RuleName};

use super::{constraints::Constraints, fields::Fields, rule::read_rule};

/// A line of the file, with its number counted from 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct Line<'a> {
    pub(super) number: u32,
    pub(super) source: &'a str,
}

impl Line<'_> {
    /// A finding at a byte offset in the line.
    pub(super) fn finding(self, offset: usize, message: impl Into<String>) -> Finding {
        let before = self.source.get(..offset).unwrap_or(self.source);
        let column = before.chars().count() + 1;
        Finding {
            line: self.number,
            column: u32::try_from(column).unwrap_or(u32::MAX),
            message: message.into(),
        }
    }
}

/// A parsed line. `rule` is `None` if the rule has findings; its name is then still considered
/// defined, so that references to it cause no further findings.
pub(super) struct ReadLine {
    pub(super) name: RuleName,
    pub(super) rule: Option<Rule>,
}

/// Parses a line; `None` for a blank line, a comment, or a line whose rule name is invalid.
pub(super) fn read_line(
    line: Line<'_>,
    findings: &mut Vec<Finding>,
    constraints: &mut Constraints,
) -> Option<ReadLine> {
    let trimmed = line.source.trim_start();
    if trimmed.is_empty() || trimmed.starts_with('#') {
        return None;
    }
    let document = match Document::parse(line.source) {
        Ok(document) => document,
        Err(error) => {
            findings.push(syntax_finding(line, &error));
            return None;
        }
    };
    let Some(entry) = entry(document.as_table()) else {
        findings.push(line.finding(
            0,
            "expected one rule on the line, such as customer.totara = { rate = \"20/s\", burst = 40 }",
        ));
        return None;
    };
    let text = format!("{}.{}", entry.kind.get(), entry.id.get());
    let name: RuleName = match text.parse() {
        Ok(name) => name,
        Err(error) => {
            let message = format!("{text:?} is not a valid rule name: {error}");
            findings.push(line.finding(key_start(entry.kind), message));
            return None;
        }
    };
    let before = findings.len();
    check_comment(line, &entry, findings);
    let mut fields = Fields::new(line, entry.table, findings);
    let rule = read_rule(&name, &mut fields, constraints);
    fields.finish();
    let clean = findings.len() == before;
    Some(ReadLine {
        name,
        rule: rule.filter(|_| clean),
    })
}

/// The parts of `KIND.ID = { … }`.
struct Entry<'a> {
    kind: &'a Key,
    id: &'a Key,
    table: &'a InlineTable,
}

fn entry(root: &Table) -> Option<Entry<'_>> {
    let (kind, item) = only_entry(root)?;
    let Item::Table(inner) = item else {
        return None;
    };
    if !inner.is_dotted() {
        return None;
    }
    let (id, item) = only_entry(inner)?;
    let Item::Value(Value::InlineTable(table)) = item else {
        return None;
    };
    Some(Entry { kind, id, table })
}

/// The entry of a table that has exactly one.
fn only_entry(table: &Table) -> Option<(&Key, &Item)> {
    let mut entries = table.iter();
    let (name, _) = entries.next()?;
    if entries.next().is_some() {
        return None;
    }
    table.get_key_value(name)
}

fn key_start(key: &Key) -> usize {
    key.span().map_or(0, |span| span.start)
}

fn check_comment(line: Line<'_>, entry: &Entry<'_>, findings: &mut Vec<Finding>) {
    let end = entry
        .table
        .span()
        .map_or(line.source.len(), |span| span.end);
    let rest = line.source.get(end..).unwrap_or_default().trim();
    let comment = rest.strip_prefix('#').unwrap_or_default().trim();
    if comment.is_empty() {
        findings.push(line.finding(
            end,
            "the comment that says who asked for the rule is missing, such as # asked by Mere",
        ));
    }
}

fn syntax_finding(line: Line<'_>, error: &TomlError) -> Finding {
    let offset = error.span().map_or(0, |span| span.start);
    line.finding(offset, error.message().replace('\n', "; "))
}
