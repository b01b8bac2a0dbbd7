//! When refusals are logged, of which there may be thousands a second.

use std::time::Duration;

use clem_types::Time;

/// Minimum time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts refusals between two log lines on them.
#[derive(Debug, Default)]
pub struct RefusalLog {
    logged: Option<Time>,
    refused: u64,
}

impl RefusalLog {
    /// Counts a refusal. Returns how many there were since the line before if another line is due.
    pub fn count(&mut self, now: Time) -> Option<u64> {
        self.refused += 1;
        if self
            .logged
            .is_some_and(|logged| now.since(logged) < INTERVAL)
        {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.refused))
    }
}
