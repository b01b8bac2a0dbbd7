//! Logs as JSON lines on standard error.

use eyre::WrapErr;
use log::{LevelFilter, Record};
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::{Encode, Write, json::JsonEncoder, writer::simple::SimpleWriter},
};

/// Room for a line of the usual length, in bytes.
const LINE_BYTES: usize = 512;

type Result<T> = eyre::Result<T>;

/// Starts the process's log: one JSON object a line on standard error.
///
/// # Errors
/// A log has been started before.
pub fn start_logs(level: LevelFilter) -> Result<()> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(LineEncoder::default()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .wrap_err("the log can't be set up")?;
    log4rs::init_config(config).wrap_err("the log can't be started")?;
    Ok(())
}

/// Writes each line in one piece.
///
/// The JSON encoder writes every field and quotation mark by itself, and standard error isn't
/// buffered: one line would take dozens of system calls on the loop's own thread.
#[derive(Debug, Default)]
struct LineEncoder {
    json: JsonEncoder,
}

impl Encode for LineEncoder {
    // log4rs asks for this error type; it goes no further than here.
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(LINE_BYTES));
        self.json.encode(&mut line, record)?;
        writer.write_all(&line.0)?;
        Ok(())
    }
}
