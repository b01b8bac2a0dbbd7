//! The end of a process that can't go on.

use std::{fmt, io, io::Write};

/// Ends the process with a clear line; nothing that follows a failed write or sync may be
/// acknowledged.
pub(super) fn end(reason: &str, error: &dyn fmt::Display) -> ! {
    log::error!(error:% = error; "{reason}; the process ends");
    // The line may sit in a buffer otherwise.
    let _ = io::stderr().flush();
    std::process::exit(i32::from(clem_boot::EXIT_FAILURE));
}
