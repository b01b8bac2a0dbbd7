//! Outlier ejection: targets that fail, or are much slower than their pool, are excluded for a
//! while and readmitted after a few successful trial requests.

use std::time::Duration;

use clem_types::Time;

use super::AttemptOutcome;

/// Consecutive failures that eject a target.
const FAILURES: u32 = 3;
/// Trial requests that must succeed before a target is fully readmitted.
const TRIALS: u32 = 3;
/// Duration of the first ejection; each further one is twice as long.
const EJECTED_MIN: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const EJECTED_MAX: Duration = Duration::from_secs(30);
/// A target that is slower than its pool by this factor is ejected.
const SLOW_FACTOR: f64 = 5.0;
/// A time to first token below this, in seconds, never counts as slow.
const SLOW_MIN: f64 = 0.05;
/// Number of answers before a target can count as slow.
const SAMPLES: u32 = 5;
/// Weight of a new answer in a target's moving average.
const TARGET_GAIN: f64 = 0.2;
/// Weight of a new answer in the pool's moving average.
const POOL_GAIN: f64 = 0.02;

/// Health of a target as observed by this entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected: Option<Time>,
    /// Number of trial requests that still have to succeed.
    trials: u32,
    trial_sent: Option<Time>,
    first: f64,
    samples: u32,
}

/// Whether a target may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// No restriction.
    Good,
    /// Only one trial request at a time.
    Trial,
    /// Excluded, unless no other target is left.
    Ejected,
}

/// Usual time to first token of a pool, and its current ejections.
#[derive(Debug, Clone, Default)]
pub struct PoolHealth {
    first: f64,
    /// Number of open targets in the pool.
    pub targets: usize,
    /// End times of the current ejections.
    ejected: Vec<Time>,
}

/// Time after which an unfinished trial request no longer prevents another one.
const TRIAL_SPAN: Duration = Duration::from_secs(5);

impl Health {
    /// State of the target at `now`; ejections and trials end by time.
    pub fn state(&self, now: Time) -> State {
        if self.ejected.is_some_and(|until| now < until) {
            return State::Ejected;
        }
        if self.trials == 0 {
            return State::Good;
        }
        match self.trial_sent {
            Some(sent) if now.since(sent) < TRIAL_SPAN => State::Ejected,
            Some(_) | None => State::Trial,
        }
    }

    pub(super) fn sent(&mut self, now: Time) {
        if self.trials > 0 {
            self.trial_sent = Some(now);
        }
    }

    fn eject(&mut self, now: Time) -> Time {
        let doubled = EJECTED_MIN * 2u32.pow(self.ejections.min(5));
        let until = now + doubled.min(EJECTED_MAX);
        self.ejections += 1;
        self.ejected = Some(until);
        self.failures = 0;
        self.samples = 0;
        self.first = 0.0;
        self.trials = TRIALS;
        self.trial_sent = None;
        until
    }

    fn answered(&mut self, first: f64) {
        self.failures = 0;
        self.trial_sent = None;
        self.trials = self.trials.saturating_sub(1);
        if self.trials == 0 && self.samples > SAMPLES * 4 {
            self.ejections = 0;
        }
        self.samples += 1;
        if self.samples == 1 {
            self.first = first;
        }
        self.first += (first - self.first) * TARGET_GAIN;
    }
}

impl PoolHealth {
    /// Records how an attempt ended, and ejects the target if it counts as an outlier and at least
    /// half of the pool stays in use.
    pub fn record(&mut self, now: Time, health: &mut Health, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered { first } => {
                health.answered(first);
                let usual = self.first;
                // Limits the effect of a very slow target on the pool's average.
                let capped = if usual > 0.0 {
                    first.min(usual * SLOW_FACTOR)
                } else {
                    first
                };
                self.first = if usual > 0.0 {
                    usual + (capped - usual) * POOL_GAIN
                } else {
                    first
                };
                let slow = health.first > SLOW_MIN && health.first > usual * SLOW_FACTOR;
                if health.samples >= SAMPLES && usual > 0.0 && slow {
                    self.eject(now, health);
                }
            }
            AttemptOutcome::Failed => {
                health.failures += 1;
                health.trial_sent = None;
                if health.failures >= FAILURES || health.trials > 0 {
                    self.eject(now, health);
                }
            }
            AttemptOutcome::Refused | AttemptOutcome::Dropped => health.trial_sent = None,
        }
    }

    fn eject(&mut self, now: Time, health: &mut Health) {
        self.ejected.retain(|until| now < *until);
        if self.ejected.len() < self.targets / 2 {
            self.ejected.push(health.eject(now));
        }
    }
}
