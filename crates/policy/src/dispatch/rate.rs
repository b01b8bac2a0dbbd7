//! Token buckets of the customers, one each for the whole fleet.

use std::{collections::HashMap, time::Duration};

use clem_types::Time;
use serde::{Deserialize, Serialize};

/// Rate limit of a customer; a rate of 0 means unlimited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Sustained requests per second.
    pub rate: f64,
    /// Capacity of the bucket, in requests.
    pub burst: f64,
}

/// Part of a customer's rate limit that a holder may use while no leader is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateShare {
    /// Fraction of the customer's recent requests that came from the holder, from 0 to 1.
    pub part: f64,
    /// Fill level of the customer's bucket as a fraction of the burst, from 0 to 1.
    pub left: f64,
}

impl RateShare {
    /// The whole rate with a full bucket.
    pub const WHOLE: Self = Self {
        part: 1.0,
        left: 1.0,
    };
}

/// Seconds of the customer's full rate that are assumed as a minimum of recent requests: a new
/// leader has seen few holders and would otherwise assign the whole rate to the first one.
const EVIDENCE_S: f64 = 4.0;
/// Longest time until the next token that a caller is told.
const WAIT_MAX: Duration = Duration::from_secs(3600);
/// Decayed request count below which a holder is forgotten.
const COUNT_MIN: f64 = 0.01;
/// Time constant of the exponential decay of the holders' request counts.
pub(super) const SHARE_SPAN: Duration = Duration::from_secs(8);

/// Token bucket of a customer, in requests, with the recent demand of each holder.
#[derive(Debug, Clone)]
pub struct RateBucket {
    limit: RateLimit,
    level: f64,
    filled: Time,
    /// Exponentially decayed request count of each holder.
    demand: HashMap<String, Demand>,
}

/// Decayed request count of a holder at time `at`.
#[derive(Debug, Clone, Copy)]
struct Demand {
    count: f64,
    at: Time,
}

impl Demand {
    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / SHARE_SPAN.as_secs_f64();
        self.count * (-age).exp()
    }
}

impl RateBucket {
    /// Creates a bucket with at most `start` tokens; the caller limits them where it doesn't know
    /// what was spent before.
    pub fn new(now: Time, limit: RateLimit, start: f64) -> Self {
        Self {
            limit,
            level: start.min(limit.burst.max(1.0)),
            filled: now,
            demand: HashMap::new(),
        }
    }

    /// Changes rate and burst; tokens above the new burst are dropped.
    pub fn set_limit(&mut self, now: Time, limit: RateLimit) {
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst.max(1.0));
    }

    /// Takes one token; always succeeds for an unlimited customer.
    ///
    /// # Errors
    /// The time until the next token, at most an hour, if the bucket is empty.
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
        Err(Duration::try_from_secs_f64(wait).map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX)))
    }

    /// Counts a request of a holder and returns the holder's share of the rate.
    pub fn count(&mut self, now: Time, holder: &str) -> RateShare {
        let demand = self.demand.entry(holder.to_owned()).or_insert(Demand {
            count: 0.0,
            at: now,
        });
        *demand = Demand {
            count: demand.at(now) + 1.0,
            at: now,
        };
        let own = demand.count;
        self.demand.retain(|_, demand| demand.at(now) > COUNT_MIN);
        let all: f64 = self.demand.values().map(|demand| demand.at(now)).sum();
        RateShare {
            part: own / all.max(self.limit.rate * EVIDENCE_S).max(own),
            left: self.left(now),
        }
    }

    /// Fill level as a fraction of the burst, from 0 to 1.
    pub fn left(&mut self, now: Time) -> f64 {
        self.fill(now);
        self.level / self.limit.burst.max(1.0)
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&mut self) {
        self.level = (self.level + 1.0).min(self.limit.burst.max(1.0));
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.limit.rate;
        self.level = (self.level + gained).min(self.limit.burst.max(1.0));
        self.filled = now;
    }
}
