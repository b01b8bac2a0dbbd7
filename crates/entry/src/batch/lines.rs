//! Splits a body into lines as it arrives, and parses lines into items.

use bytes::{Buf, BytesMut};
use clem_rules::Rules;
use clem_wire::batch::Item;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::resolve;

/// Maximum length of a `custom_id`, in bytes.
const MAX_CUSTOM_ID: usize = 256;

/// Buffers received data until it forms complete lines.
#[derive(Debug, Default)]
pub(super) struct Lines {
    buffer: BytesMut,
    /// Length of the prefix that is known to contain no line end.
    searched: usize,
}

impl Lines {
    pub(super) fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// The size of the buffer, in bytes.
    pub(super) fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// The number of buffered bytes.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Removes the next complete line, without its line end.
    pub(super) fn next(&mut self) -> Option<BytesMut> {
        let found = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(found) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.searched + found);
        self.buffer.advance(1);
        self.searched = 0;
        Some(line)
    }

    /// Removes the data after the last line end.
    pub(super) fn rest(&mut self) -> BytesMut {
        self.searched = 0;
        self.buffer.split()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<'a> {
    custom_id: String,
    model: Option<String>,
    route: Option<String>,
    #[serde(borrow)]
    body: &'a RawValue,
    idempotent: Option<bool>,
}

/// Parses one line; `None` for an empty one.
///
/// # Errors
/// The reason why the line is invalid, for the caller.
pub(super) fn parse_item(rules: &Rules, line: &[u8]) -> Result<Option<Item>, String> {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    let line: Line<'_> = serde_json::from_slice(line)
        .map_err(|error| format!("column {}: {}", error.column(), describe(&error)))?;
    if line.custom_id.is_empty() || line.custom_id.len() > MAX_CUSTOM_ID {
        return Err(format!(
            "custom_id is empty or longer than {MAX_CUSTOM_ID} bytes"
        ));
    }
    let found = match (&line.model, &line.route) {
        (Some(model), None) => resolve::model_route(rules, model),
        (None, Some(route)) => {
            resolve::model_route(rules, route).or_else(|| resolve::service_route(rules, route))
        }
        (Some(_), Some(_)) => return Err("it names both a model and a route".to_owned()),
        (None, None) => return Err("it names neither a model nor a route".to_owned()),
    };
    let Some((id, route)) = found else {
        return Err("no route or model has this name".to_owned());
    };
    Ok(Some(Item {
        custom_id: line.custom_id,
        route: id.clone(),
        body: line.body.get().to_owned(),
        idempotent: line.idempotent.unwrap_or(true) && route.idempotent,
    }))
}

/// Describes a parse error. The parser's own message is not used because it could quote the line's
/// content.
fn describe(error: &serde_json::Error) -> &'static str {
    match error.classify() {
        serde_json::error::Category::Io => "it could not be read",
        serde_json::error::Category::Syntax => "it is not valid JSON",
        serde_json::error::Category::Data => {
            "a field is missing, unknown, duplicated or of the wrong type"
        }
        serde_json::error::Category::Eof => "it ends unexpectedly",
    }
}
