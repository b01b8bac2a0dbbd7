//! Exit after an unrecoverable error.

use std::fmt;

/// Logs the error and exits the process.
///
/// Used after a failed write or sync, because nothing later may be acknowledged.
pub(super) fn exit(reason: &str, error: &dyn fmt::Display) -> ! {
    log::error!(error:% = error; "{reason}; exiting");
    log::logger().flush();
    std::process::exit(i32::from(clem_boot::EXIT_FAILURE));
}
