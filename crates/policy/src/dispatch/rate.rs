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

/// What a platform tolerates above a customer's rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateTolerance {
    /// Span over which requests are counted.
    pub window: Duration,
    /// Part of the rate and burst of a span that may be exceeded.
    pub overage: f64,
    /// Requests that may be exceeded beside that.
    pub slack: f64,
}

impl RateTolerance {
    /// Requests of a customer that the fronts may let pass in total while nobody knows what it has spent.
    /// The other half of the tolerance covers a leader that knows as little, and requests on their way.
    pub fn unknown_spending(&self, limit: RateLimit) -> f64 {
        let span = limit.rate * self.window.as_secs_f64() + limit.burst;
        (span * self.overage + self.slack) / 2.0
    }
}

/// Seconds of the customer's full rate that are assumed as a minimum of recent requests: a new
/// leader has seen few holders and would otherwise assign the whole rate to the first one.
const EVIDENCE_S: f64 = 4.0;
/// Longest time until the next token that a caller is told.
const WAIT_MAX: Duration = Duration::from_secs(3600);
/// Least part of the rate by which the wait for a token is reckoned.
const GAIN_MIN: f64 = 0.05;
/// Decayed request count below which a holder is forgotten.
const COUNT_MIN: f64 = 0.01;
/// Time constant of the exponential decay of the holders' request counts.
const SHARE_SPAN: Duration = Duration::from_secs(8);
/// How long a holder may use its share after the leader assigned it; then it has the least share.
pub const SHARE_LIFE: Duration = Duration::from_secs(30);
/// How much longer the leader keeps a share back than its holder may use it, as the holder learns of
/// it later.
const SHARE_LAG: Duration = Duration::from_secs(1);
/// Span of a holder's share that is given back at most if it hasn't used it; more would be a second
/// burst.
const UNUSED_SPAN: Duration = Duration::from_millis(2000);

/// Share of a customer's rate that was assigned to a holder, as both ends know it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownShare {
    pub(super) share: RateShare,
    at: Time,
}

impl KnownShare {
    /// The share after a new assignment. The earlier one decays slowly and remains a lower bound, as
    /// a new leader has seen few requests.
    pub(super) fn assign(before: Option<&Self>, now: Time, share: RateShare) -> Self {
        let least = before.map_or(0.0, |known| {
            let age = now.since(known.at).as_secs_f64() / SHARE_SPAN.as_secs_f64();
            known.share.part * (-age).exp()
        });
        let part = share.part.max(least);
        Self {
            share: RateShare { part, ..share },
            at: now,
        }
    }

    /// The part of the rate that the holder may use at `now`, which is at least `least`.
    pub(super) fn part(&self, now: Time, least: f64) -> f64 {
        if now.since(self.at) > SHARE_LIFE {
            return least;
        }
        self.share.part.max(least)
    }
}

/// Token bucket of a customer, in requests, with the recent demand of each holder.
#[derive(Debug, Clone)]
pub struct RateBucket {
    limit: RateLimit,
    level: f64,
    filled: Time,
    /// Exponentially decayed request count of each holder.
    demand: HashMap<String, Demand>,
    /// The share that was last assigned to each holder.
    told: HashMap<String, KnownShare>,
    /// What is kept back for holders that are out of touch.
    away: HashMap<String, Kept>,
    /// Part of the rate that holders may use that this leader has never heard of.
    unheard: f64,
}

/// Tokens kept back for a holder that is out of touch.
#[derive(Debug, Clone, Copy)]
struct Kept {
    /// When the holder was last heard of.
    since: Time,
    /// Part of the rate that the holder may use.
    part: f64,
    /// Tokens kept back so far, those of its part of the burst included.
    tokens: f64,
    /// Tokens of these that are given back at most.
    refundable: f64,
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
            told: HashMap::new(),
            away: HashMap::new(),
            unheard: 0.0,
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
        let gain = self.limit.rate * (1.0 - self.kept_part()).max(GAIN_MIN);
        let wait = (1.0 - self.level) / gain;
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
        let share = RateShare {
            part: own / all.max(self.limit.rate * EVIDENCE_S).max(own),
            left: self.left(now),
        };
        let known = KnownShare::assign(self.told.get(holder), now, share);
        self.told.insert(holder.to_owned(), known);
        share
    }

    /// Notes that a holder was told that the bucket is empty.
    pub fn note_refused(&mut self, holder: &str) {
        if let Some(known) = self.told.get_mut(holder) {
            known.share.left = 0.0;
        }
    }

    /// Keeps back what a holder may spend that was last heard of at `since`: its share, or a new
    /// one of `least`.
    pub fn hold_back(&mut self, now: Time, holder: &str, since: Time, least: f64) {
        self.fill(now);
        let known = self.told.get(holder);
        let part = known.map_or(least, |known| known.part(since, least));
        let left = known.map_or(1.0, |known| known.share.left);
        let burst = self.limit.burst * part * left;
        let rate = self.limit.rate * part;
        let tokens = burst + rate * now.since(since).as_secs_f64();
        let kept = Kept {
            since,
            part,
            tokens,
            refundable: burst + rate * UNUSED_SPAN.as_secs_f64(),
        };
        self.level -= tokens;
        self.away.insert(holder.to_owned(), kept);
    }

    /// Takes tokens that a holder in touch has spent by itself.
    pub fn charge(&mut self, now: Time, spent: f64) {
        self.fill(now);
        self.level -= spent;
    }

    /// Ends to keep tokens back for a holder that has spent `spent` of them.
    pub fn settle(&mut self, now: Time, holder: &str, spent: f64) {
        self.fill(now);
        let Some(kept) = self.away.remove(holder) else {
            return;
        };
        let unused = (kept.tokens - spent).clamp(0.0, kept.refundable);
        self.level = (self.level + unused).min(self.limit.burst.max(1.0));
    }

    /// Forgets a holder that has ended.
    pub fn forget(&mut self, now: Time, holder: &str) {
        self.fill(now);
        self.told.remove(holder);
        self.away.remove(holder);
    }

    /// Sets the part of the rate that may be used by holders that this leader has never heard of.
    pub fn set_unheard(&mut self, now: Time, part: f64) {
        self.fill(now);
        self.unheard = part;
    }

    /// The part of the rate that is kept back, from 0 to 1.
    pub fn kept_part(&self) -> f64 {
        let away: f64 = self.away.values().map(|kept| kept.part).sum();
        (away + self.unheard).min(1.0)
    }

    /// The customer's limit.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Fill level as a fraction of the burst, from 0 to 1.
    pub fn left(&mut self, now: Time) -> f64 {
        self.fill(now);
        (self.level / self.limit.burst.max(1.0)).max(0.0)
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&mut self) {
        self.level = (self.level + 1.0).min(self.limit.burst.max(1.0));
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.limit.rate;
        for kept in self.away.values_mut() {
            kept.tokens += gained * kept.part;
        }
        let free = 1.0 - self.kept_part();
        self.level = (self.level + gained * free).min(self.limit.burst.max(1.0));
        self.filled = now;
        let life = SHARE_LIFE + SHARE_LAG;
        self.away.retain(|_, kept| now.since(kept.since) <= life);
        self.told.retain(|_, known| now.since(known.at) <= life);
    }
}
