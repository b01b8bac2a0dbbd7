//! The customers' rates, and what fronts may spend of them while they are out of touch.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clem_types::Time;

use super::{LowBuckets, RateBucket, RateLimit, RateShare, SHARE_LIFE};

/// The parts of each customer's rate that fronts may use of which the leader knows no share.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UnknownShares {
    /// The part that a front may use that was assigned no share, from 0 to 1.
    pub least: f64,
    /// The part that fronts may use together that the leader has never heard of, from 0 to 1.
    pub unheard: f64,
}

/// A change of what is kept back for a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontNews {
    /// The front is out of touch, and its shares are kept back from now on.
    Away {
        /// The front.
        holder: String,
        /// For how long it had been silent.
        silent: Duration,
    },
    /// The front reports again.
    Back {
        /// The front.
        holder: String,
        /// The requests that it has placed by itself meanwhile.
        spent: u32,
    },
}

/// A front out of touch.
#[derive(Debug)]
struct AwayFront {
    since: Time,
    /// What it had spent by itself of each customer's rate when it last reported.
    spent: BTreeMap<String, u32>,
}

/// The buckets of all customers.
///
/// What a front out of touch may spend is kept back from the other fronts, and what it has spent is
/// charged once it reports that. So the limit holds over all fronts, in touch or not.
#[derive(Debug, Default)]
pub(super) struct RateBuckets {
    buckets: HashMap<String, RateBucket>,
    /// What each front in touch has spent by itself of each customer's rate, as it last reported.
    fronts: HashMap<String, BTreeMap<String, u32>>,
    away: HashMap<String, AwayFront>,
    news: Vec<FrontNews>,
    unknown: UnknownShares,
    /// Which buckets were low under the leaders before; until the first limits are known.
    restored: Option<LowBuckets>,
}

impl RateBuckets {
    /// Replaces the customers' rate limits. Known customers keep their bucket; a new one starts
    /// with at most `start` tokens.
    pub(super) fn set_limits(
        &mut self,
        now: Time,
        limits: &HashMap<String, RateLimit>,
        start: f64,
    ) {
        self.buckets.retain(|name, _| limits.contains_key(name));
        let restored = self.restored.take();
        for (name, limit) in limits {
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.set_limit(now, *limit);
                continue;
            }
            let kept = restored.as_ref();
            let kept = kept.map_or(0.0, |low| low.least_tokens(name, *limit));
            let mut bucket = RateBucket::new(now, *limit, start.max(kept));
            bucket.set_unheard(now, self.unknown.unheard);
            self.buckets.insert(name.clone(), bucket);
        }
    }

    /// Sets which buckets were low under the leaders before.
    pub(super) fn restore_low(&mut self, low: Option<LowBuckets>) {
        self.restored = low;
    }

    /// How full the buckets are that are worth a record, each as a part of its burst.
    pub(super) fn levels(&mut self, now: Time) -> BTreeMap<String, f64> {
        let mut levels = BTreeMap::new();
        for (name, bucket) in &mut self.buckets {
            if LowBuckets::covers(bucket.limit()) {
                levels.insert(name.clone(), bucket.left(now));
            }
        }
        levels
    }

    /// Takes a token for a request of a holder.
    ///
    /// # Errors
    /// The time until the next token, if the customer exceeds its rate.
    pub(super) fn take(
        &mut self,
        now: Time,
        customer: Option<&String>,
        holder: &str,
    ) -> Result<(), Duration> {
        let Some(bucket) = customer.and_then(|name| self.buckets.get_mut(name)) else {
            return Ok(());
        };
        bucket
            .take(now)
            .inspect_err(|_| bucket.note_refused(holder))
    }

    /// Returns the token of a request that did not run.
    pub(super) fn refund(&mut self, customer: Option<&String>) {
        if let Some(bucket) = customer.and_then(|name| self.buckets.get_mut(name)) {
            bucket.refund();
        }
    }

    /// Counts a request of a holder and returns the holder's share of the customer's rate.
    pub(super) fn count(
        &mut self,
        now: Time,
        customer: Option<&String>,
        holder: &str,
    ) -> RateShare {
        match customer.and_then(|name| self.buckets.get_mut(name)) {
            Some(bucket) => bucket.count(now, holder),
            None => RateShare::WHOLE,
        }
    }

    /// Notes a report of a front, with the number of requests that it has placed by itself since it
    /// started, for each customer.
    pub(super) fn note_front(&mut self, now: Time, holder: &str, spent: &[(String, u32)]) {
        let spent: BTreeMap<String, u32> = spent.iter().cloned().collect();
        let since = |customer: &str, before: &BTreeMap<String, u32>| {
            let before = before.get(customer).copied().unwrap_or_default();
            let count = spent.get(customer).copied().unwrap_or_default();
            count.saturating_sub(before)
        };
        if let Some(away) = self.away.remove(holder) {
            let mut all = 0;
            for (customer, bucket) in &mut self.buckets {
                let count = since(customer, &away.spent);
                bucket.settle(now, holder, f64::from(count));
                all += count;
            }
            self.news.push(FrontNews::Back {
                holder: holder.to_owned(),
                spent: all,
            });
        } else if let Some(before) = self.fronts.get(holder) {
            for customer in spent.keys() {
                if let Some(bucket) = self.buckets.get_mut(customer) {
                    bucket.charge(now, f64::from(since(customer, before)));
                }
            }
        }
        self.fronts.insert(holder.to_owned(), spent);
    }

    /// Notes that a holder has been silent since `since`; if it is a front, what it may spend is kept
    /// back from now on.
    pub(super) fn note_silent(&mut self, now: Time, holder: &str, since: Time) {
        let Some(spent) = self.fronts.remove(holder) else {
            return;
        };
        for bucket in self.buckets.values_mut() {
            bucket.hold_back(now, holder, since, self.unknown.least);
        }
        self.away
            .insert(holder.to_owned(), AwayFront { since, spent });
        self.news.push(FrontNews::Away {
            holder: holder.to_owned(),
            silent: now.since(since),
        });
    }

    /// Forgets fronts that have been out of touch for longer than they may use their shares.
    pub(super) fn expire(&mut self, now: Time) {
        self.away
            .retain(|_, away| now.since(away.since) <= SHARE_LIFE);
    }

    /// Removes and returns the changes since the last call.
    pub(super) fn take_news(&mut self) -> Vec<FrontNews> {
        std::mem::take(&mut self.news)
    }

    /// The number of fronts for which shares are kept back.
    pub(super) fn away(&self) -> usize {
        self.away.len()
    }

    /// Notes that a process has ended, and spends nothing any more.
    pub(super) fn note_ended(&mut self, now: Time, holder: &str) {
        self.fronts.remove(holder);
        self.away.remove(holder);
        for bucket in self.buckets.values_mut() {
            bucket.forget(now, holder);
        }
    }

    /// Sets the shares that the leader doesn't know.
    pub(super) fn set_unknown(&mut self, now: Time, unknown: UnknownShares) {
        if unknown.unheard != self.unknown.unheard {
            for bucket in self.buckets.values_mut() {
                bucket.set_unheard(now, unknown.unheard);
            }
        }
        self.unknown = unknown;
    }

    /// The part of a customer's rate that is kept back, from 0 to 1; `None` for an unknown customer.
    pub(super) fn kept_part(&self, customer: &str) -> Option<f64> {
        self.buckets.get(customer).map(RateBucket::kept_part)
    }
}
