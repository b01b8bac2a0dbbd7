//! The request log: one JSON line for every request received, against which tests check results.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    os::unix::fs::FileExt,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use ::http::Uri;
use eyre::{Result, WrapErr};
use salvo::http::{HeaderMap, Method};
use serde::Serialize;

/// How a request ended, as written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    Refused,
    Cancelled,
    Parked,
    Dropped,
    Died,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Cancelled => "cancelled",
            Self::Parked => "parked",
            Self::Dropped => "dropped",
            Self::Died => "died",
        }
    }
}

/// The fields of a log line that are known when the request arrives.
#[derive(Debug, Serialize)]
struct Head<'a> {
    n: u64,
    id: &'a str,
    method: &'a str,
    path: &'a str,
    headers: BTreeMap<&'a str, String>,
    body: &'a str,
    start: u64,
}

#[derive(Debug, Default)]
struct State {
    file: Option<File>,
    /// The length of the file, where the next line starts.
    end: u64,
    count: u64,
}

/// The request log of one process; clones share the file.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestLog {
    state: Arc<Mutex<State>>,
}

impl RequestLog {
    /// Opens the log file and continues at its end. Without a path nothing is logged.
    pub(crate) fn open(path: Option<PathBuf>) -> Result<Self> {
        let mut state = State::default();
        if let Some(path) = path {
            let file = OpenOptions::new()
                .create(true)
                .truncate(false)
                .write(true)
                .open(&path)
                .wrap_err_with(|| format!("can't open the log file {}", path.display()))?;
            state.end = file.metadata()?.len();
            state.file = Some(file);
        }
        Ok(Self {
            state: Arc::new(Mutex::new(state)),
        })
    }

    /// Writes the line of a request that has just arrived.
    ///
    /// The line is complete from the start and its tail is overwritten when the request ends, so
    /// that a killed process loses no request.
    pub(crate) fn begin(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: &str,
    ) -> Result<Record> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.count += 1;
        let mut fields = BTreeMap::new();
        for (name, value) in headers {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            fields.insert(name.as_str(), value);
        }
        let id = match fields.get("x-request-id") {
            Some(id) => id.clone(),
            None => format!("fake-{}", state.count),
        };
        let head = Head {
            n: state.count,
            id: &id,
            method: method.as_str(),
            path: uri.path_and_query().map_or("/", |path| path.as_str()),
            headers: fields,
            body,
            start: unix_micros(),
        };
        let mut line = serde_json::to_string(&head)?;
        line.pop();
        let tail_at = state.end + line.len() as u64;
        line.push_str(&tail(None, None, "open"));
        if let Some(file) = &state.file {
            file.write_all_at(line.as_bytes(), state.end)?;
            state.end += line.len() as u64;
        }
        Ok(Record {
            log: self.clone(),
            id: id.into(),
            tail_at,
            closed: false,
        })
    }
}

/// The log line of one request; dropping it without [`Record::close`] sets the outcome `dropped`.
#[derive(Debug)]
pub(crate) struct Record {
    log: RequestLog,
    /// The header `x-request-id`, or an assigned id.
    pub(crate) id: Arc<str>,
    tail_at: u64,
    closed: bool,
}

impl Record {
    /// Completes the line. Calls after the first one have no effect.
    pub(crate) fn close(&mut self, outcome: Outcome, tokens: Option<u32>) {
        if self.closed {
            return;
        }
        self.closed = true;
        let state = self.log.state.lock();
        let state = state.unwrap_or_else(PoisonError::into_inner);
        let Some(file) = &state.file else {
            return;
        };
        let tail = tail(Some(unix_micros()), tokens, outcome.name());
        if let Err(error) = file.write_all_at(tail.as_bytes(), self.tail_at) {
            eprintln!("clem-fake: can't write the log file: {error}");
        }
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        self.close(Outcome::Dropped, None);
    }
}

/// Formats the end of a line with a fixed length, because it is overwritten in place when the
/// request ends.
fn tail(end: Option<u64>, tokens: Option<u32>, outcome: &str) -> String {
    let end = end.map_or("null".to_owned(), |end| end.to_string());
    let tokens = tokens.map_or("null".to_owned(), |tokens| tokens.to_string());
    let outcome = format!("\"{outcome}\"");
    format!(",\"end\":{end:<16},\"tokens\":{tokens:<10},\"outcome\":{outcome:<11}}}\n")
}

/// Returns the current time in microseconds since the Unix epoch.
pub(crate) fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
