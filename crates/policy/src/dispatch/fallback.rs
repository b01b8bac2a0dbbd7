//! Local fallback for the seconds in which the hub has no reachable leader, after a kill, a freeze
//! or a network partition.
//!
//! Each process then places requests on its own knowledge, since a guess serves callers better
//! than a refusal. To keep a customer's rate limit, every front uses the share of rate and burst
//! that the leader last told it, so a customer that had spent its burst gets no new one when the
//! leader fails.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clem_types::Time;

use super::{GrantOutcome, RateBucket, RateLimit, RateShare, RateTolerance, rate::KnownShare};

/// Smallest share of a customer's rate, as a fraction of an equal share among the fronts; applies
/// to fronts that have not served the customer recently.
const SHARE_MIN: f64 = 0.25;
/// How long the requests of a customer are reported after the last one.
const SPENT_KEPT: Duration = Duration::from_secs(120);
/// How long a failed target is avoided.
const COOLDOWN: Duration = Duration::from_millis(1000);

/// State that a process needs to place requests without a leader.
#[derive(Debug, Default)]
pub struct Fallback {
    failed: HashMap<String, Time>,
    buckets: HashMap<String, RateBucket>,
    /// This process's share of each customer's rate, as last told by the leader.
    shares: HashMap<String, KnownShare>,
    /// The requests of each customer that were taken here.
    spent: BTreeMap<String, Spent>,
    /// Set while this process has never heard of a leader: how the rates are divided among processes that
    /// have all just started.
    fresh: Option<RateTolerance>,
    /// Set when a call to the leader failed, until a leader answers.
    silent: bool,
}

/// Requests of a customer that were taken without a leader, and when the last one was.
#[derive(Debug)]
struct Spent {
    count: u32,
    last: Time,
}

/// The least part of a customer's rate that each of `fronts` may use without a leader.
pub fn least_share(fronts: u32) -> f64 {
    SHARE_MIN / f64::from(fronts.max(1))
}

impl Fallback {
    /// Starts to place requests before any leader was heard of, as after a loss of all processes. Each
    /// front then uses an equal share of each customer's rate, and of what is tolerated above it.
    pub fn start_alone(&mut self, tolerance: RateTolerance) {
        self.fresh = Some(tolerance);
        self.silent = true;
    }

    /// Whether no leader was heard of since [`start_alone`](Self::start_alone).
    pub fn is_fresh(&self) -> bool {
        self.fresh.is_some()
    }

    /// Whether requests are placed locally instead of asking the leader.
    pub fn is_active(&self) -> bool {
        self.silent
    }

    /// Records a failed call to the leader; returns whether the fallback was inactive before.
    pub fn note_silent(&mut self) -> bool {
        !std::mem::replace(&mut self.silent, true)
    }

    /// Records an answer of a leader; returns whether the fallback was active before.
    pub fn note_heard(&mut self, now: Time) -> bool {
        if !std::mem::take(&mut self.silent) {
            return false;
        }
        self.fresh = None;
        for (customer, mut bucket) in self.buckets.drain() {
            let left = bucket.left(now);
            if let Some(known) = self.shares.get_mut(&customer) {
                known.share.left = known.share.left.min(left);
            }
        }
        true
    }

    /// Records how an attempt at a target ended.
    pub fn note(&mut self, now: Time, target: &str, ended: GrantOutcome) {
        match ended {
            GrantOutcome::Unreachable
            | GrantOutcome::Crashed
            | GrantOutcome::Silent
            | GrantOutcome::Replaced
            | GrantOutcome::Full => {
                self.failed.insert(target.to_owned(), now + COOLDOWN);
            }
            GrantOutcome::Answered | GrantOutcome::Failed => {
                self.failed.remove(target);
            }
            GrantOutcome::Broken
            | GrantOutcome::Cut
            | GrantOutcome::NotRun
            | GrantOutcome::Lost => {}
        }
    }

    /// Whether a target failed recently and should not be chosen.
    pub fn is_avoided(&self, now: Time, target: &str) -> bool {
        self.failed.get(target).is_some_and(|until| now < *until)
    }

    /// Records the share of a customer's rate that the leader assigned to this process.
    pub fn note_share(&mut self, now: Time, customer: &str, share: RateShare) {
        let known = KnownShare::assign(self.shares.get(customer), now, share);
        self.shares.insert(customer.to_owned(), known);
    }

    /// Records that the leader refused a customer for its rate: no burst is left.
    pub fn note_spent(&mut self, customer: &str) {
        if let Some(known) = self.shares.get_mut(customer) {
            known.share.left = 0.0;
        }
    }

    /// Takes one request out of this process's share of a customer's rate, which is divided among
    /// `fronts` processes.
    ///
    /// # Errors
    /// The time until the next request fits in the share.
    pub fn take(
        &mut self,
        now: Time,
        customer: &str,
        limit: RateLimit,
        fronts: u32,
    ) -> Result<(), Duration> {
        let least = least_share(fronts);
        let equal = 1.0 / f64::from(fronts.max(1));
        let known = self.shares.get(customer);
        let unknown = self.fresh.filter(|_| known.is_none());
        let part = match (known, unknown) {
            (Some(known), _) => known.part(now, least),
            (None, Some(_)) => equal,
            (None, None) => least,
        };
        let left = known.map_or(1.0, |known| known.share.left);
        let whole = limit;
        let limit = RateLimit {
            rate: limit.rate * part,
            burst: limit.burst * part,
        };
        let start = match unknown {
            Some(tolerance) => (tolerance.unknown_spending(whole) * equal).max(1.0),
            None => limit.burst.max(1.0) * left,
        };
        let bucket = self
            .buckets
            .entry(customer.to_owned())
            .or_insert_with(|| RateBucket::new(now, limit, start));
        bucket.set_limit(now, limit);
        bucket.take(now)?;
        if limit.rate <= 0.0 {
            return Ok(());
        }
        let spent = self.spent.entry(customer.to_owned());
        let spent = spent.or_insert(Spent {
            count: 0,
            last: now,
        });
        spent.count += 1;
        spent.last = now;
        Ok(())
    }

    /// The number of requests of each customer that were taken here, for the leader. Customers with
    /// none for long are left out and start again from 0.
    pub fn spent(&mut self, now: Time) -> Vec<(String, u32)> {
        self.spent
            .retain(|_, spent| now.since(spent.last) < SPENT_KEPT);
        let spent = self.spent.iter();
        spent
            .map(|(customer, spent)| (customer.clone(), spent.count))
            .collect()
    }
}
