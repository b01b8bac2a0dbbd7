//! Logging of JSON lines to standard output without blocking the caller.
//!
//! A bounded channel passes the lines to a writer thread. While the channel is full, because the
//! reader of standard output is too slow, lines are dropped and counted. The count is logged as
//! soon as there is room again.

use std::{
    io::Write as _,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use eyre::WrapErr;
use log::{LevelFilter, Log, Metadata, Record, kv};
use serde_json::{Map, Value};

/// Capacity of the channel, in lines.
const MAX_LINES: usize = 2048;
/// Queued lines are combined into writes of about this size, in bytes.
const WRITE_BYTES: usize = 64 * 1024;
/// How long a process that ends waits for its lines to be written.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Pause before a full channel is tried again.
const FLUSH_PAUSE: Duration = Duration::from_millis(1);

type Result<T> = eyre::Result<T>;

/// Installs the process's logger, which writes one JSON object per line to standard output.
///
/// # Errors
/// A logger is already installed, or the writer thread cannot be started.
pub fn start_stdout_logs(level: LevelFilter) -> Result<()> {
    let (lines, waiting) = sync_channel(MAX_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITE_BYTES * 2)
        .spawn(move || write_lines(&waiting))
        .wrap_err("failed to start the log writer thread")?;
    let logger = Box::leak(Box::new(StdoutLogger {
        level,
        lines,
        dropped: AtomicU64::new(0),
    }));
    log::set_logger(logger).wrap_err("failed to install the logger")?;
    log::set_max_level(level);
    Ok(())
}

/// What the writer thread gets.
enum Output {
    /// A line to write.
    Line(Vec<u8>),
    /// Asks for word once all lines before it are written.
    Flush(SyncSender<()>),
}

struct StdoutLogger {
    level: LevelFilter,
    lines: SyncSender<Output>,
    dropped: AtomicU64,
}

impl Log for StdoutLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && metadata.target().starts_with("clem")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0
            && self
                .lines
                .try_send(Output::Line(dropped_line(dropped)))
                .is_err()
        {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if self.lines.try_send(Output::Line(line(record))).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines before are written, for a bounded time: their reader may be slow.
    fn flush(&self) {
        let until = Instant::now() + FLUSH_TIME;
        let (written, word) = sync_channel(1);
        let mut flush = Output::Flush(written);
        while let Err(TrySendError::Full(unsent)) = self.lines.try_send(flush) {
            if Instant::now() >= until {
                return;
            }
            flush = unsent;
            thread::sleep(FLUSH_PAUSE);
        }
        // Without word in time the rest of the lines is lost.
        let _ = word.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

fn write_lines(waiting: &Receiver<Output>) {
    let mut buffer = Vec::new();
    while let Ok(first) = waiting.recv() {
        let mut next = Some(first);
        let mut flushes = Vec::new();
        while let Some(output) = next.take() {
            match output {
                Output::Line(line) => buffer.extend_from_slice(&line),
                Output::Flush(written) => flushes.push(written),
            }
            if buffer.len() < WRITE_BYTES {
                next = waiting.try_recv().ok();
            }
        }
        // An error means that standard output is closed; there is nowhere left to report it.
        let _ = std::io::stdout().write_all(&buffer);
        buffer.clear();
        for written in flushes {
            // The process may have waited for too long already.
            let _ = written.try_send(());
        }
    }
}

fn line(record: &Record<'_>) -> Vec<u8> {
    let mut fields = Map::new();
    fields.insert("time".to_owned(), unix_millis().into());
    let level = record.level().as_str().to_ascii_lowercase();
    fields.insert("level".to_owned(), level.into());
    fields.insert("event".to_owned(), record.args().to_string().into());
    let mut visitor = Fields(&mut fields);
    // The visitor accepts every value, so this cannot fail.
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
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
