//! Placing without the hub: while no leader answers, each process goes by what it knows itself.
//!
//! The load that this answers: some seconds without a leader, after a kill, a freeze or a cut.
//! Callers are better served by a guess than by a refusal; each customer's rate is kept by giving
//! every front the share of it that it had before.

use std::{collections::HashMap, time::Duration};

use clem_policy::dispatch::{Ended, Meter, RateLimit};
use clem_types::Time;

/// The part of an equal share of a customer's rate that a front has of a customer which it has not
/// served of late.
const SHARE_MIN: f64 = 0.25;
/// How long a target that failed is left.
const LEFT: Duration = Duration::from_millis(1000);

/// What a process knows itself.
#[derive(Debug, Default)]
pub(crate) struct Alone {
    failed: HashMap<String, Time>,
    meters: HashMap<String, Meter>,
    /// This process's share of each customer's requests, as the leader said last.
    shares: HashMap<String, f64>,
    /// Whether the leader was silent and none has been heard of since.
    silent: bool,
}

impl Alone {
    /// Whether the leader should not be asked now.
    pub(crate) fn is_alone(&self) -> bool {
        self.silent
    }

    /// The leader did not answer; says whether it had until now.
    pub(crate) fn note_silent(&mut self) -> bool {
        !std::mem::replace(&mut self.silent, true)
    }

    /// The leader answers; says whether it had been silent.
    pub(crate) fn note_heard(&mut self) -> bool {
        if !std::mem::take(&mut self.silent) {
            return false;
        }
        self.meters.clear();
        true
    }

    /// Takes in how an attempt at a target ended.
    pub(crate) fn note(&mut self, now: Time, target: &str, ended: Ended) {
        match ended {
            Ended::Unreachable | Ended::Silent | Ended::Replaced | Ended::Full => {
                self.failed.insert(target.to_owned(), now + LEFT);
            }
            Ended::Answered => {
                self.failed.remove(target);
            }
            Ended::Broken | Ended::NotRun | Ended::Lost => {}
        }
    }

    pub(crate) fn is_left(&self, now: Time, target: &str) -> bool {
        self.failed.get(target).is_some_and(|until| now < *until)
    }

    /// The leader said which share of a customer's requests this process takes.
    pub(crate) fn note_share(&mut self, customer: &str, share: f64) {
        self.shares.insert(customer.to_owned(), share);
    }

    /// Takes a request out of this process's share of a customer's rate; `fronts` share it.
    ///
    /// # Errors
    /// When there will be one.
    pub(crate) fn take(
        &mut self,
        now: Time,
        customer: &str,
        limit: RateLimit,
        fronts: u32,
    ) -> Result<(), Duration> {
        let known = self.shares.get(customer).copied().unwrap_or_default();
        let share = known.max(SHARE_MIN / f64::from(fronts.max(1)));
        let limit = RateLimit {
            rate: limit.rate * share,
            burst: limit.burst * share,
        };
        let meter = self
            .meters
            .entry(customer.to_owned())
            .or_insert_with(|| Meter::new(now, limit, limit.burst.max(1.0)));
        meter.take(now)
    }
}
