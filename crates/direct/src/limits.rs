//! Limits that targets named, as this process knows them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clem_policy::dispatch::{Budget, LimitReport, LimitedTargets, TargetLimit};
use clem_types::{Rate, Time};

/// Minimum time between two reports on one target: the leader's reply takes about as long.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of targets whose unreadable limits are logged.
const UNREADABLE_MAX: usize = 256;

/// Limits that targets named in their answers to this process or, by way of the leader, to others.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: LimitedTargets,
    /// Answers that the leader was not told of yet.
    news: Vec<LimitReport>,
    /// When each target was last reported.
    reported: BTreeMap<String, Time>,
    /// This process's shares of the limits while no leader answers.
    shares: BTreeMap<String, Budget>,
    unreadable: BTreeSet<String>,
}

impl Limits {
    /// Records an answer of a target to a request that was sent at `sent`; returns whether the leader
    /// must be told, who has published `published`.
    pub(crate) fn note(
        &mut self,
        now: Time,
        sent: Time,
        report: LimitReport,
        published: Option<Rate>,
    ) -> bool {
        if self.known.note(sent, &report.target, report.rate) {
            self.shares.remove(&report.target);
        }
        if report.rate == published {
            return false;
        }
        let last = self.reported.get(&report.target);
        if last.is_some_and(|last| now.since(*last) < REPORT_INTERVAL) {
            return false;
        }
        self.reported.insert(report.target.clone(), now);
        self.news.push(report);
        true
    }

    /// Whether an unreadable limit of this target has not been logged yet.
    pub(crate) fn is_first_unreadable(&mut self, target: &str) -> bool {
        self.unreadable.len() < UNREADABLE_MAX && self.unreadable.insert(target.to_owned())
    }

    /// Takes over what the leader has published, after `before`.
    pub(crate) fn note_published(
        &mut self,
        before: &BTreeMap<String, Rate>,
        limits: &[TargetLimit],
    ) {
        for target in before.keys() {
            if !limits.iter().any(|limit| limit.target == *target) {
                self.known.lift(target);
            }
        }
        for limit in limits {
            self.known.restore(limit);
        }
    }

    /// Removes and returns the answers that the leader was not told of.
    pub(crate) fn take_news(&mut self) -> Vec<LimitReport> {
        std::mem::take(&mut self.news)
    }

    /// The limited targets that this process knows.
    pub(crate) fn limits(&self) -> Vec<TargetLimit> {
        self.known.limits()
    }

    /// Whether a request may be sent to a target without a leader, by an equal share of its limit
    /// among `fronts` processes.
    pub(crate) fn is_open(&mut self, now: Time, target: &str, fronts: u32) -> bool {
        let Some(rate) = self.known.get(target) else {
            return true;
        };
        let share = self
            .shares
            .entry(target.to_owned())
            .or_insert_with(|| Budget::new(now, rate, fronts));
        share.available(now) > 0
    }

    /// Takes a request that is sent without a leader out of this process's share.
    pub(crate) fn take(&mut self, now: Time, target: &str) {
        if let Some(share) = self.shares.get_mut(target) {
            share.take(now);
        }
    }

    /// Drops the shares when a leader grants the slots again.
    pub(crate) fn drop_shares(&mut self) {
        self.shares.clear();
    }

    /// Forgets targets that are gone from the list.
    pub(crate) fn retain(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        self.known.retain(now, &is_listed);
        self.reported.retain(|target, _| is_listed(target));
        self.shares.retain(|target, _| is_listed(target));
        self.unreadable.retain(|target| is_listed(target));
    }
}
