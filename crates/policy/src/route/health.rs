//! Outlier ejection: targets that fail, or are far slower than their pool, are left for a while
//! and taken back by a few trial requests.

use std::time::Duration;

use clem_types::Time;

use super::AttemptOutcome;

/// Failures in a row that eject a target.
const FAILURES: u32 = 3;
/// Trial requests that must succeed before a target is trusted again.
const TRIALS: u32 = 3;
/// The first ejection; each further one is twice as long.
const EJECTED_MIN: Duration = Duration::from_secs(1);
/// The longest ejection.
const EJECTED_MAX: Duration = Duration::from_secs(30);
/// A target this many times slower than its pool is ejected.
const SLOW_FACTOR: f64 = 5.0;
/// Times to the first token below this are never called slow, in seconds.
const SLOW_MIN: f64 = 0.05;
/// Answers that are needed before a target is called slow.
const SAMPLES: u32 = 5;
/// The weight of a new answer in a target's average.
const TARGET_GAIN: f64 = 0.2;
/// The weight of a new answer in the pool's average.
const POOL_GAIN: f64 = 0.02;

/// A target's health, as this entry has seen it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected: Option<Time>,
    /// Trial requests that still have to succeed.
    trials: u32,
    trial_sent: Option<Time>,
    first: f64,
    samples: u32,
}

/// Whether a target may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may.
    Good,
    /// It may get one request at a time.
    Trial,
    /// It may not, unless nothing else is left.
    Ejected,
}

/// What is normal in a pool.
#[derive(Debug, Clone, Default)]
pub struct PoolHealth {
    first: f64,
    /// How many targets the pool has.
    pub targets: usize,
    /// When the present ejections end.
    ejected: Vec<Time>,
}

/// How long a trial request counts as under way.
const TRIAL_SPAN: Duration = Duration::from_secs(5);

impl Health {
    /// Whether the target may get a request now.
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
    /// Takes in how an attempt ended, and ejects the target if that is due and the pool can
    /// spare it: at least half of the targets stay.
    pub fn judge(&mut self, now: Time, health: &mut Health, ended: AttemptOutcome) {
        match ended {
            AttemptOutcome::Answered { first } => {
                health.answered(first);
                let usual = self.first;
                // A very slow target hardly moves what is called usual.
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
