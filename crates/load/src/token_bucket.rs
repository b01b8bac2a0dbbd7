//! Decides which planned requests are clearly within their customer's rate limit.

use std::time::Duration;

use crate::CustomerShape;

/// The fraction of rate and burst that counts as clearly within the limit. Requests may arrive
/// slightly earlier or later than planned, so the result near the limit is not predictable.
const LIMIT_FRACTION: f64 = 0.95;

/// A token bucket over the planned send times, independent of the one of the system under test.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    last: Duration,
}

impl TokenBucket {
    /// Creates a full bucket with the customer's rate and burst.
    pub fn new(customer: &CustomerShape) -> Self {
        let burst = f64::from(customer.burst) * LIMIT_FRACTION;
        Self {
            rate: f64::from(customer.rate) * LIMIT_FRACTION,
            burst,
            level: burst,
            last: Duration::ZERO,
        }
    }

    /// Takes a token for a request that is due at `due`; returns whether there was one. Calls must
    /// be in the order of `due`.
    pub fn take(&mut self, due: Duration) -> bool {
        debug_assert!(due >= self.last, "due times must not decrease");
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
