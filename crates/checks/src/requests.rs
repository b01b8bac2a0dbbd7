//! The fakes' record of the requests that they received: the judge of every proof.

use std::{collections::BTreeMap, fs, path::Path};

use serde::Deserialize;

use crate::Result;

/// One request that a fake received.
#[derive(Debug, Clone, Deserialize)]
pub struct RequestLine {
    /// Counts from 1 in one life of the fake.
    pub n: u64,
    /// The header `x-request-id`, or a name by the fake.
    pub id: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: String,
    /// When it arrived, in microseconds since 1970.
    pub start: u64,
    /// When it ended; none while it runs, or when the fake died.
    pub end: Option<u64>,
    /// The tokens sent, by an engine.
    pub tokens: Option<u32>,
    /// How it ended: `open`, `done`, `refused`, `cancelled`, `parked`, `dropped` or `died`.
    pub outcome: String,
}

/// Reads a fake's log; a last line that is cut short by a kill is left out.
///
/// # Errors
/// The file can't be read, or a line is not a record.
pub fn read_requests(path: &Path) -> Result<Vec<RequestLine>> {
    let text = fs::read_to_string(path)?;
    let mut lines = Vec::new();
    for line in text.split_inclusive('\n') {
        if !line.ends_with('\n') {
            continue;
        }
        lines.push(serde_json::from_str(line)?);
    }
    Ok(lines)
}
