//! The process's monotonic clock and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clem_types::{Time, UnixMillis};
use nix::time::{ClockId, clock_gettime};

/// Reads the current time. Only I/O code has a clock; decision logic takes the time as an argument,
/// so that it can be tested.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// The monotonic time since [`start`](Self::start). It includes time for which the VM was
    /// suspended, because a lease must expire during a suspension too.
    pub fn now(&self) -> Time {
        let micros = since_boot().saturating_sub(self.start).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The wall-clock time, as UTC milliseconds since the Unix epoch.
    pub fn wall_time(&self) -> UnixMillis {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

/// The time since the VM booted, including suspensions.
fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        // CLOCK_BOOTTIME is available on every supported kernel.
        Err(error) => unreachable!("failed to read CLOCK_BOOTTIME: {error}"),
    }
}
