//! A customer's rate and burst, kept in one place for the whole fleet.

use std::time::Duration;

use clem_types::Time;

/// A customer's rate and burst; a rate of 0 bounds nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may come at once, on top of the rate.
    pub burst: f64,
}

/// The level of a customer's bucket, in requests.
#[derive(Debug, Clone)]
pub struct Meter {
    limit: RateLimit,
    level: f64,
    filled: Time,
}

impl Meter {
    /// A bucket that holds at most `start` requests: what was spent before is not known.
    pub fn new(now: Time, limit: RateLimit, start: f64) -> Self {
        Self {
            limit,
            level: start.min(limit.burst.max(1.0)),
            filled: now,
        }
    }

    /// Changes rate and burst; what is left above the new burst is lost.
    pub fn set_limit(&mut self, now: Time, limit: RateLimit) {
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst.max(1.0));
    }

    /// Takes one request out of the bucket.
    ///
    /// # Errors
    /// When there will be one, if there is none.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        if self.limit.rate <= 0.0 {
            return Ok(());
        }
        self.fill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.limit.rate;
        Err(Duration::from_secs_f64(wait))
    }

    /// Gives one request back that was not run.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.limit.burst.max(1.0));
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.limit.rate;
        self.level = (self.level + gained).min(self.limit.burst.max(1.0));
        self.filled = now;
    }
}
