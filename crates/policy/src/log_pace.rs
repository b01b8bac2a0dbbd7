//! When a state that lasts is logged again.

use std::time::Duration;

use clem_types::Time;

/// Spaces the log lines on a state that lasts: the first one comes after a delay, and each pause is twice
/// the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPace {
    next: Time,
    pause: Duration,
}

impl LogPace {
    /// Starts with a state that began at `since`.
    pub fn new(since: Time, delay: Duration) -> Self {
        Self {
            next: since + delay,
            pause: delay,
        }
    }

    /// Whether a line is due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next
    }

    /// Whether a line is due; the next one is due after a longer pause then.
    pub fn take_due(&mut self, now: Time) -> bool {
        if !self.is_due(now) {
            return false;
        }
        self.pause = self.pause.saturating_mul(2);
        self.next = now + self.pause;
        true
    }
}
