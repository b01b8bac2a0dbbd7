//! The process's monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clem_types::{Time, UnixMillis};
use nix::time::{ClockId, clock_gettime};

/// Reads the present; only the edge of a process has one, decisions take the time as argument.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// The present on a monotonic clock that counts the time for which the vm was suspended: a
    /// lease must not outlive a suspension.
    pub fn now(&self) -> Time {
        let micros = since_boot().saturating_sub(self.start).as_micros();
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

/// The time since the vm booted, suspensions included.
fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        // The clock is part of every kernel that the programs run on.
        Err(error) => unreachable!("the boot clock can't be read: {error}"),
    }
}
