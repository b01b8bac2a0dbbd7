//! Logs as JSON lines on standard output, which never hold up the loop.
//!
//! Lines go through a buffer of bounded size to a thread that writes them. When the reader of
//! standard output is too slow, lines are dropped and counted; the count is the next line.

use std::{
    io::Write as _,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use eyre::WrapErr;
use log::{LevelFilter, Log, Metadata, Record, kv};
use serde_json::{Map, Value};

/// Lines that may wait to be written.
const LINES_MAX: usize = 2048;
/// Bytes that are written in one piece.
const PIECE_BYTES: usize = 64 * 1024;

type Result<T> = eyre::Result<T>;

/// Starts the process's log: one JSON object a line on standard output.
///
/// # Errors
/// A log has been started before, or the writing thread can't be started.
pub fn start_stdout_logs(level: LevelFilter) -> Result<()> {
    let (lines, waiting) = sync_channel(LINES_MAX);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(PIECE_BYTES * 2)
        .spawn(move || write_lines(&waiting))
        .wrap_err("the log's thread can't be started")?;
    let logger = Box::leak(Box::new(Lines {
        level,
        lines,
        dropped: AtomicU64::new(0),
    }));
    log::set_logger(logger).wrap_err("the log can't be started")?;
    log::set_max_level(level);
    Ok(())
}

struct Lines {
    level: LevelFilter,
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && metadata.target().starts_with("clem")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && self.lines.try_send(dropped_line(dropped)).is_err() {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if self.lines.try_send(line(record)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    while let Ok(mut piece) = waiting.recv() {
        while piece.len() < PIECE_BYTES {
            let Ok(line) = waiting.try_recv() else { break };
            piece.extend_from_slice(&line);
        }
        // Nobody is left to tell when standard output is closed.
        let _ = std::io::stdout().write_all(&piece);
    }
}

fn line(record: &Record<'_>) -> Vec<u8> {
    let mut fields = Map::new();
    fields.insert("time".to_owned(), unix_millis().into());
    let level = record.level().as_str().to_ascii_lowercase();
    fields.insert("level".to_owned(), level.into());
    fields.insert("event".to_owned(), record.args().to_string().into());
    let mut visitor = Fields(&mut fields);
    // The visitor takes every value, so that there is no error to report.
    let _ = record.key_values().visit(&mut visitor);
    end_line(fields)
}

fn dropped_line(count: u64) -> Vec<u8> {
    let mut fields = Map::new();
    fields.insert("time".to_owned(), unix_millis().into());
    fields.insert("level".to_owned(), "warn".into());
    fields.insert("event".to_owned(), "log lines dropped".into());
    fields.insert("lines".to_owned(), count.into());
    end_line(fields)
}

fn end_line(fields: Map<String, Value>) -> Vec<u8> {
    let mut bytes = Value::Object(fields).to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: kv::Key<'kvs>,
        value: kv::Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
