//! Says of each planned request whether its customer is clearly inside its rate and burst.

use std::time::Duration;

use crate::CustomerShape;

/// The part of rate and burst that counts as clearly inside: requests may arrive a little earlier or
/// later than they were sent, so those at the very edge are not judged.
const CLEAR: f64 = 0.95;

/// A token bucket over planned send times, kept apart from the system's own.
#[derive(Debug, Clone)]
pub struct Judge {
    rate: f64,
    burst: f64,
    level: f64,
    last: Duration,
}

impl Judge {
    /// A judge whose bucket is full.
    pub fn new(customer: &CustomerShape) -> Self {
        let burst = f64::from(customer.burst) * CLEAR;
        Self {
            rate: f64::from(customer.rate) * CLEAR,
            burst,
            level: burst,
            last: Duration::ZERO,
        }
    }

    /// Whether a request sent at `due` is inside; times must not go back.
    pub fn inside(&mut self, due: Duration) -> bool {
        debug_assert!(due >= self.last, "planned times are in order");
        let passed = (due - self.last).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.last = due;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
