//! Waits for conditions.

use std::time::{Duration, Instant};

use eyre::bail;

use crate::Result;

/// How long a condition may take on a busy machine; a test that waits this long fails.
pub const BOUND: Duration = Duration::from_secs(60);
/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Errors
/// It doesn't hold within [`BOUND`]; the error names `what` was waited for.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    eventually_value(what, async || condition().await.then_some(())).await
}

/// Waits until `look` brings a value.
///
/// # Errors
/// It brings none within [`BOUND`]; the error names `what` was waited for.
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
    bail!("waited {} s for: {what}", BOUND.as_secs());
}
