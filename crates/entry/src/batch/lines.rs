//! Cuts a body into lines as it comes, and lines into items.

use bytes::{Buf, BytesMut};
use clem_rules::Rules;
use clem_wire::batch::Item;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::resolve;

/// The longest `custom_id`, in bytes.
const CUSTOM_ID_MAX: usize = 256;

/// Parts of a body that are not whole lines yet.
#[derive(Debug, Default)]
pub(super) struct Lines {
    buffer: BytesMut,
    /// How much of the buffer holds no line end.
    searched: usize,
}

impl Lines {
    pub(super) fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// How much is held back, in bytes.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// The next whole line, without its end.
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

    /// What stands behind the last line end.
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

/// Reads one line; none for an empty one.
///
/// # Errors
/// What is wrong with it, for the caller.
pub(super) fn item(rules: &Rules, line: &[u8]) -> Result<Option<Item>, String> {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    let line: Line<'_> = serde_json::from_slice(line)
        .map_err(|error| format!("column {}: {}", error.column(), kind(&error)))?;
    if line.custom_id.is_empty() || line.custom_id.len() > CUSTOM_ID_MAX {
        return Err(format!(
            "custom_id is empty or longer than {CUSTOM_ID_MAX} bytes"
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
        return Err("no route or model of this name".to_owned());
    };
    Ok(Some(Item {
        custom_id: line.custom_id,
        route: id.clone(),
        body: line.body.get().to_owned(),
        idempotent: line.idempotent.unwrap_or(true) && route.idempotent,
    }))
}

/// What kind of mistake it is; the parser's own words could show the line's content.
fn kind(error: &serde_json::Error) -> &'static str {
    match error.classify() {
        serde_json::error::Category::Io => "it can't be read",
        serde_json::error::Category::Syntax => "it is not JSON",
        serde_json::error::Category::Data => {
            "a field is missing, unknown, doubled or of the wrong type"
        }
        serde_json::error::Category::Eof => "it ends too early",
    }
}
