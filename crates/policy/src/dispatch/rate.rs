//! A customer's rate and burst, kept in one place for the whole fleet.

use std::{collections::HashMap, time::Duration};

use clem_types::Time;
use serde::{Deserialize, Serialize};

/// A customer's rate and burst; a rate of 0 bounds nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may come at once, on top of the rate.
    pub burst: f64,
}

/// What a holder may take of a customer's rate while no leader answers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Its part of the customer's requests of late, from 0 to 1.
    pub part: f64,
    /// What is left of the customer's burst, from 0 to 1.
    pub left: f64,
}

impl Share {
    /// The share of a holder that is alone with a customer who has asked for nothing yet.
    pub const WHOLE: Self = Self {
        part: 1.0,
        left: 1.0,
    };
}

/// How many seconds of a customer's rate must have been counted before a holder's part of them is
/// taken for its part of the rate: a leader that has just begun has seen few holders.
const EVIDENCE_S: f64 = 4.0;
/// Requests below which a holder is forgotten.
const TAKEN_MIN: f64 = 0.01;
/// The span over which the shares of holders are averaged.
pub(super) const SHARE_SPAN: Duration = Duration::from_secs(8);

/// The level of a customer's bucket, in requests, and who takes them.
#[derive(Debug, Clone)]
pub struct Meter {
    limit: RateLimit,
    level: f64,
    filled: Time,
    /// Requests taken by each holder, of which old ones count less and less.
    taken: HashMap<String, Taken>,
}

/// Requests that a holder has taken, as of a moment.
#[derive(Debug, Clone, Copy)]
struct Taken {
    count: f64,
    at: Time,
}

impl Taken {
    fn now(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / SHARE_SPAN.as_secs_f64();
        self.count * (-age).exp()
    }
}

impl Meter {
    /// A bucket that holds at most `start` requests: what was spent before is not known.
    pub fn new(now: Time, limit: RateLimit, start: f64) -> Self {
        Self {
            limit,
            level: start.min(limit.burst.max(1.0)),
            filled: now,
            taken: HashMap::new(),
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

    /// Counts a request of a holder and returns what that holder may take without a leader.
    pub fn count(&mut self, now: Time, holder: &str) -> Share {
        let taken = self.taken.entry(holder.to_owned()).or_insert(Taken {
            count: 0.0,
            at: now,
        });
        *taken = Taken {
            count: taken.now(now) + 1.0,
            at: now,
        };
        let own = taken.count;
        self.taken.retain(|_, taken| taken.now(now) > TAKEN_MIN);
        let all: f64 = self.taken.values().map(|taken| taken.now(now)).sum();
        Share {
            part: own / all.max(self.limit.rate * EVIDENCE_S).max(own),
            left: self.left(now),
        }
    }

    /// What is left of the burst, from 0 to 1.
    pub fn left(&mut self, now: Time) -> f64 {
        self.fill(now);
        self.level / self.limit.burst.max(1.0)
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
