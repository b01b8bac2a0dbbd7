//! Tasks that a process can't do without.

use std::{any::Any, future::Future};

use tokio::task::JoinHandle;

use crate::EXIT_FAILURE;

/// Spawns a task that the process can't do without: if it panics, the process logs that and exits, so that
/// it is started anew. Tokio would drop the task, and the process would go on without it.
pub fn spawn_vital(
    task: &'static str,
    work: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let Err(error) = tokio::spawn(work).await else {
            return;
        };
        // A task that was stopped with the runtime is no error.
        let Ok(payload) = error.try_into_panic() else {
            return;
        };
        let message = panic_message(payload.as_ref());
        log::error!(task, message = message.as_str(); "task panicked; exiting");
        log::logger().flush();
        std::process::exit(i32::from(EXIT_FAILURE));
    })
}

/// The message of a panic.
pub fn panic_message(payload: &(dyn Any + Send)) -> String {
    let text = payload
        .downcast_ref::<&str>()
        .map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_default()
}
