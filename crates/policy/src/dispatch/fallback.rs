//! Placing without the hub: while no leader answers, each process goes by what it knows itself.
//!
//! The load that this answers: some seconds without a leader, after a kill, a freeze or a cut.
//! Callers are better served by a guess than by a refusal; each customer's rate is kept by giving
//! every front the share of rate and burst that it had before. A customer that had spent its burst
//! does not get it again because a leader was lost.

use std::{collections::HashMap, time::Duration};

use clem_types::Time;

use super::{GrantOutcome, Meter, RateLimit, Share, rate::SHARE_SPAN};

/// The part of an equal share of a customer's rate that a front has of a customer which it has not
/// served of late.
const SHARE_MIN: f64 = 0.25;
/// How long a target that failed is left.
const LEFT: Duration = Duration::from_millis(1000);

/// What a process knows itself.
#[derive(Debug, Default)]
pub struct Fallback {
    failed: HashMap<String, Time>,
    meters: HashMap<String, Meter>,
    /// This process's share of each customer's rate, as the leader said last.
    shares: HashMap<String, Heard>,
    /// Whether the leader was silent and none has been heard of since.
    silent: bool,
}

/// What the leader said of a customer.
#[derive(Debug)]
struct Heard {
    share: Share,
    at: Time,
}

impl Fallback {
    /// Whether the leader should not be asked now.
    pub fn is_active(&self) -> bool {
        self.silent
    }

    /// The leader did not answer; says whether it had until now.
    pub fn note_silent(&mut self) -> bool {
        !std::mem::replace(&mut self.silent, true)
    }

    /// The leader answers; says whether it had been silent.
    pub fn note_heard(&mut self, now: Time) -> bool {
        if !std::mem::take(&mut self.silent) {
            return false;
        }
        for (customer, mut meter) in self.meters.drain() {
            let left = meter.left(now);
            if let Some(heard) = self.shares.get_mut(&customer) {
                heard.share.left = heard.share.left.min(left);
            }
        }
        true
    }

    /// Takes in how an attempt at a target ended.
    pub fn note(&mut self, now: Time, target: &str, ended: GrantOutcome) {
        match ended {
            GrantOutcome::Unreachable
            | GrantOutcome::Silent
            | GrantOutcome::Replaced
            | GrantOutcome::Full => {
                self.failed.insert(target.to_owned(), now + LEFT);
            }
            GrantOutcome::Answered => {
                self.failed.remove(target);
            }
            GrantOutcome::Broken | GrantOutcome::NotRun | GrantOutcome::Lost => {}
        }
    }

    /// Whether a target failed a moment ago and should be left.
    pub fn is_avoided(&self, now: Time, target: &str) -> bool {
        self.failed.get(target).is_some_and(|until| now < *until)
    }

    /// The leader said which share of a customer's rate this process takes.
    ///
    /// A leader that has just begun knows little; what an earlier one said fades slowly.
    pub fn note_share(&mut self, now: Time, customer: &str, share: Share) {
        let before = self.shares.get(customer).map_or(0.0, |heard| {
            let age = now.since(heard.at).as_secs_f64() / SHARE_SPAN.as_secs_f64();
            heard.share.part * (-age).exp()
        });
        let share = Share {
            part: share.part.max(before),
            ..share
        };
        let heard = Heard { share, at: now };
        self.shares.insert(customer.to_owned(), heard);
    }

    /// The leader said that a customer is over its rate.
    pub fn note_spent(&mut self, customer: &str) {
        if let Some(heard) = self.shares.get_mut(customer) {
            heard.share.left = 0.0;
        }
    }

    /// Takes a request out of this process's share of a customer's rate; `fronts` share it.
    ///
    /// # Errors
    /// When there will be one.
    pub fn take(
        &mut self,
        now: Time,
        customer: &str,
        limit: RateLimit,
        fronts: u32,
    ) -> Result<(), Duration> {
        let least = SHARE_MIN / f64::from(fronts.max(1));
        let known = self.shares.get(customer).map(|heard| heard.share);
        let share = known.unwrap_or(Share {
            part: least,
            left: 1.0,
        });
        let part = share.part.max(least);
        let limit = RateLimit {
            rate: limit.rate * part,
            burst: limit.burst * part,
        };
        let meter = self
            .meters
            .entry(customer.to_owned())
            .or_insert_with(|| Meter::new(now, limit, limit.burst.max(1.0) * share.left));
        meter.take(now)
    }
}
