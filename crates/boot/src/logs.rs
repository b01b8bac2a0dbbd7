//! Logs as JSON lines on standard error.

use eyre::WrapErr;
use log::LevelFilter;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::json::JsonEncoder,
};

type Result<T> = eyre::Result<T>;

/// Starts the process's log: one JSON object a line on standard error.
///
/// # Errors
/// A log has been started before.
pub fn start_logs(level: LevelFilter) -> Result<()> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .wrap_err("the log can't be set up")?;
    log4rs::init_config(config).wrap_err("the log can't be started")?;
    Ok(())
}
