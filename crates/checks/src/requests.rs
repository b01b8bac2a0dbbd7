//! Reads the request logs of the fakes, the ground truth for the tests.

use std::{collections::BTreeMap, fs, path::Path};

use serde::Deserialize;

use crate::Result;

/// One request that a fake received.
#[derive(Debug, Clone, Deserialize)]
pub struct RequestLine {
    /// The sequence number, from 1 after each start of the fake.
    pub n: u64,
    /// The header `x-request-id`, or an id assigned by the fake when the header is absent.
    pub id: String,
    /// The HTTP method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The request body.
    pub body: String,
    /// The arrival time, in microseconds since the Unix epoch.
    pub start: u64,
    /// The end time, in microseconds since the Unix epoch; absent while it runs and when the fake
    /// was killed.
    pub end: Option<u64>,
    /// The number of tokens sent; only engines set it.
    pub tokens: Option<u32>,
    /// The outcome: `open`, `done`, `refused`, `cancelled`, `parked`, `dropped` or `died`.
    pub outcome: String,
}

/// Reads the request log of a fake. Skips an incomplete last line, which a killed fake may leave.
///
/// # Errors
/// The file can't be read, or a complete line can't be parsed.
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
