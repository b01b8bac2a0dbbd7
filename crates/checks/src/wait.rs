//! Polls for conditions.

use std::time::{Duration, Instant};

use eyre::bail;

use crate::Result;

/// The timeout of every wait, with a margin for a busy machine.
pub const BOUND: Duration = Duration::from_secs(60);
/// The polling interval.
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Errors
/// The condition doesn't hold within [`BOUND`]; `what` describes it in the error message.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    eventually_value(what, async || condition().await.then_some(())).await
}

/// Polls `look` until it returns a value.
///
/// # Errors
/// `look` returns no value within [`BOUND`]; `what` describes it in the error message.
pub async fn eventually_value<T>(
    what: &str,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let start = Instant::now();
    while start.elapsed() < BOUND {
        if let Some(value) = look().await {
            return Ok(value);
        }
        tokio::time::sleep(PAUSE).await;
    }
    bail!("timed out after {} s waiting for {what}", BOUND.as_secs());
}
