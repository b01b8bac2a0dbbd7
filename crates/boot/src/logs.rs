//! Logging of JSON lines to standard error.

use eyre::WrapErr;
use log::{LevelFilter, Record};
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::{Encode, Write, json::JsonEncoder, writer::simple::SimpleWriter},
};

/// Initial capacity of the buffer for a line, in bytes.
const LINE_BYTES: usize = 512;

type Result<T> = eyre::Result<T>;

/// Installs the process's logger, which writes one JSON object per line to standard error.
///
/// # Errors
/// A logger is already installed.
pub fn start_logs(level: LevelFilter) -> Result<()> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(LineEncoder::default()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .wrap_err("invalid logger configuration")?;
    log4rs::init_config(config).wrap_err("failed to install the logger")?;
    Ok(())
}

/// Writes each line with a single system call.
///
/// The JSON encoder writes every field and quotation mark separately, and standard error is
/// unbuffered: without this, each line takes dozens of system calls on the event loop's thread.
#[derive(Debug, Default)]
struct LineEncoder {
    json: JsonEncoder,
}

impl Encode for LineEncoder {
    // The trait of log4rs requires `anyhow`; it is not used elsewhere.
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(LINE_BYTES));
        self.json.encode(&mut line, record)?;
        writer.write_all(&line.0)?;
        Ok(())
    }
}
