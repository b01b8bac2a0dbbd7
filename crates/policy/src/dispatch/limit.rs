//! Targets that say in their answers how many requests a second they take from all vms together.
//!
//! The expected load is several times what the limited targets take, at some or all targets of a
//! service. The leader keeps one budget for each of them, and each grant of a slot takes from it. A
//! budget starts empty, so neither a new leader nor a changed limit gives a burst. While no leader
//! answers, each front uses an equal share.
//!
//! See `docs/design/platform.md`, "Limited targets".

use std::{collections::BTreeMap, time::Duration};

use clem_types::{Rate, Time};
use serde::{Deserialize, Serialize};

use super::Ticket;

/// Seconds of the rate that a budget can save up.
const BURST_S: f64 = 0.5;
/// Smallest size of a budget, in requests.
const BURST_MIN: f64 = 2.0;
/// Requests a second that a target gets at least: without an answer nobody learns that its limit
/// has ended.
const RATE_MIN: f64 = 0.25;
/// Requests that batch items leave in a budget for online requests.
const BATCH_RESERVE: u32 = 1;
/// How long a target is remembered that the list doesn't name: longer than a list is incomplete.
const UNLISTED_KEEP: Duration = Duration::from_secs(60);
/// Maximum number of targets that are remembered; beyond it no other is added.
const TARGETS_MAX: usize = 4096;

/// The limit that a target named, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// Id of the target.
    pub target: String,
    /// Requests a second from all vms.
    pub rate: Rate,
}

/// An answer whose limit differs from the one that the leader has published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The slot of the request that was answered.
    pub ticket: Ticket,
    /// Id of the target.
    pub target: String,
    /// Requests a second from all vms; `None` if the answer named no limit.
    pub rate: Option<Rate>,
}

/// How many requests a target may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Requests a second.
    pub rate: Rate,
    /// Whether unused requests of the last moments may be sent later.
    pub saves: bool,
}

impl Pace {
    /// The slower of a limit that the target named and the rate of a cold target, for which nothing is
    /// saved up: its bound holds in each second.
    pub fn slower(limit: Option<Rate>, cold: Option<Rate>) -> Option<Self> {
        let Some(cold) = cold else {
            return limit.map(|rate| Self { rate, saves: true });
        };
        Some(Self {
            rate: limit.map_or(cold, |limit| limit.min(cold)),
            saves: false,
        })
    }
}

/// Requests that may be sent to a limited target.
#[derive(Debug, Clone)]
pub struct Budget {
    per_s: f64,
    /// Seconds of the rate that can be saved up.
    burst_s: f64,
    /// Smallest size, in requests.
    least: f64,
    level: f64,
    filled: Time,
}

impl Budget {
    /// An empty budget for an equal share of a rate among `shares` processes.
    pub fn new(now: Time, rate: Rate, shares: u32) -> Self {
        Self {
            per_s: per_second(rate) / f64::from(shares.max(1)),
            burst_s: BURST_S,
            least: BURST_MIN,
            level: 0.0,
            filled: now,
        }
    }

    /// An empty budget for a target's pace.
    pub fn paced(now: Time, pace: Pace) -> Self {
        let mut budget = Self::new(now, pace.rate, 1);
        budget.set_pace(now, pace);
        budget
    }

    /// An empty budget for a `part` of the rate of a cold target, which saves up one request at most.
    pub fn part_of_cold(now: Time, rate: Rate, part: f64) -> Self {
        Self {
            per_s: per_second(rate) * part,
            burst_s: 0.0,
            least: 1.0,
            level: 0.0,
            filled: now,
        }
    }

    /// Changes the pace; what was saved up beyond the new size is dropped.
    pub fn set_pace(&mut self, now: Time, pace: Pace) {
        self.level = self.level(now);
        self.filled = now;
        self.per_s = per_second(pace.rate);
        self.burst_s = if pace.saves { BURST_S } else { 0.0 };
        self.level = self.level.min(self.size());
    }

    /// Number of requests that may be sent now.
    pub fn available(&self, now: Time) -> u32 {
        // A level is far below the largest integer.
        self.level(now).max(0.0) as u32
    }

    /// Number of batch items that may be sent now.
    pub fn available_to_batch(&self, now: Time) -> u32 {
        self.available(now).saturating_sub(BATCH_RESERVE)
    }

    /// Time until one more request than those available may be sent, and then `place` others.
    pub fn time_until(&self, now: Time, place: u32) -> Duration {
        let level = self.level(now);
        let missing = f64::from(place + 1) + level.max(0.0).floor() - level;
        Duration::from_secs_f64(missing / self.per_s)
    }

    /// Requests a second.
    pub fn per_second(&self) -> f64 {
        self.per_s
    }

    /// Takes one request.
    pub fn take(&mut self, now: Time) {
        self.level = self.level(now) - 1.0;
        self.filled = now;
    }

    /// Gives back a request that was not sent.
    pub fn refund(&mut self, now: Time) {
        self.level = (self.level(now) + 1.0).min(self.size());
        self.filled = now;
    }

    fn level(&self, now: Time) -> f64 {
        let gained = now.since(self.filled).as_secs_f64() * self.per_s;
        (self.level + gained).min(self.size())
    }

    fn size(&self) -> f64 {
        (self.per_s * self.burst_s).max(self.least)
    }
}

fn per_second(rate: Rate) -> f64 {
    let micros = rate.micros_in(Duration::from_secs(1));
    Duration::from_micros(micros).as_secs_f64().max(RATE_MIN)
}

/// What answers of targets said of their limits, by target.
///
/// It is a fact about one incarnation; the answer to the request that was sent last decides.
#[derive(Debug, Default)]
pub struct LimitedTargets {
    known: BTreeMap<String, KnownLimit>,
}

#[derive(Debug)]
struct KnownLimit {
    rate: Option<Rate>,
    /// When the request was sent whose answer said so.
    sent: Time,
}

impl LimitedTargets {
    /// Records the answer to a request that was sent at `sent`, and returns whether it changes the
    /// limit of the target.
    pub fn note(&mut self, sent: Time, target: &str, rate: Option<Rate>) -> bool {
        let Some(known) = self.known.get_mut(target) else {
            return self.add(sent, target, rate) && rate.is_some();
        };
        if sent < known.sent {
            return false;
        }
        known.sent = sent;
        std::mem::replace(&mut known.rate, rate) != rate
    }

    /// Takes over a limit that another process knows, unless an answer has told here; returns whether
    /// it is news.
    pub fn restore(&mut self, limit: &TargetLimit) -> bool {
        !self.known.contains_key(&limit.target)
            && self.add(Time::ZERO, &limit.target, Some(limit.rate))
    }

    /// Records that another process knows that a limit has ended.
    pub fn lift(&mut self, target: &str) {
        if let Some(known) = self.known.get_mut(target) {
            known.rate = None;
        }
    }

    /// The limit of a target.
    pub fn get(&self, target: &str) -> Option<Rate> {
        self.known.get(target)?.rate
    }

    /// The targets that are limited now.
    pub fn limits(&self) -> Vec<TargetLimit> {
        let mut limits = Vec::new();
        for (target, known) in &self.known {
            let Some(rate) = known.rate else { continue };
            limits.push(TargetLimit {
                target: target.clone(),
                rate,
            });
        }
        limits
    }

    /// Forgets targets that are gone from the list.
    pub fn retain(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        self.known
            .retain(|target, known| is_listed(target) || now.since(known.sent) < UNLISTED_KEEP);
    }

    fn add(&mut self, sent: Time, target: &str, rate: Option<Rate>) -> bool {
        if self.known.len() >= TARGETS_MAX {
            return false;
        }
        let known = KnownLimit { rate, sent };
        self.known.insert(target.to_owned(), known);
        true
    }
}
