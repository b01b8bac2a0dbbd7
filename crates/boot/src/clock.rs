//! The process's monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use clem_types::{Time, UnixMillis};

/// Reads the present; only the edge of a process has one, decisions take the time as argument.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present on the monotonic clock.
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The present on the calendar, in UTC.
    pub fn wall(&self) -> UnixMillis {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
