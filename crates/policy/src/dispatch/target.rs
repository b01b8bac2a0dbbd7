//! A target's slots and health.

use std::time::Duration;

use clem_types::Time;
use serde::{Deserialize, Serialize};

/// The first time that a target is left after a failure; each further one is twice as long.
const LEFT_MIN: Duration = Duration::from_millis(500);
/// The longest time that a target is left.
const LEFT_MAX: Duration = Duration::from_secs(4);
/// How long a request must have been at a target that is tried again before others follow: one
/// that is dark or refuses shows it sooner.
const TRIAL_SPAN: Duration = Duration::from_millis(500);
/// Broken answers in a row after which a target is left; some targets break one now and then.
const BROKEN_MAX: u32 = 3;

/// What a target can run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSlots {
    /// Its id.
    pub target: String,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The target answered.
    Answered,
    /// The target refused it; it has not run.
    Full,
    /// Nothing was sent.
    NotRun,
    /// No connection came about.
    Unreachable,
    /// The connection broke, or the answer was spoiled.
    Broken,
    /// Nothing came in time.
    Silent,
    /// Another target has the address.
    Replaced,
    /// Whoever held it is gone, or has forgotten it.
    Lost,
}

/// A target as the pool counts it.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) slots: TargetSlots,
    pub(super) online: u32,
    pub(super) batch: u32,
    /// Whether the platform still lists it for new work.
    pub(super) listed: bool,
    failures: u32,
    left_until: Time,
    /// Whether only one request may try it.
    trial: bool,
    /// When the request that tries it was sent.
    tried: Option<Time>,
}

impl Target {
    pub(super) fn new(slots: TargetSlots) -> Self {
        Self {
            slots,
            online: 0,
            batch: 0,
            listed: true,
            failures: 0,
            left_until: Time::ZERO,
            trial: false,
            tried: None,
        }
    }

    pub(super) fn used(&self) -> u32 {
        self.online + self.batch
    }

    /// Slots that may be granted now.
    pub(super) fn free(&self, now: Time) -> u32 {
        if !self.listed || now < self.left_until {
            return 0;
        }
        let passed = self.tried.is_some_and(|at| now.since(at) >= TRIAL_SPAN);
        let most = if self.trial && !passed {
            1
        } else {
            self.slots.slots
        };
        most.saturating_sub(self.used())
    }

    /// Whether it counts as capacity at all.
    pub(super) fn is_up(&self, now: Time) -> bool {
        self.listed && now >= self.left_until
    }

    pub(super) fn occupy(&mut self, now: Time, batch: bool) {
        if self.trial && self.tried.is_none() {
            self.tried = Some(now);
        }
        if batch {
            self.batch += 1;
        } else {
            self.online += 1;
        }
    }

    pub(super) fn release(&mut self, now: Time, batch: bool, ended: GrantOutcome) {
        if self.used() <= 1 {
            // The next request tries it anew, unless this one was answered.
            self.tried = None;
        }
        let count = if batch {
            &mut self.batch
        } else {
            &mut self.online
        };
        *count = count.saturating_sub(1);
        match ended {
            GrantOutcome::Answered => {
                self.failures = 0;
                self.trial = false;
            }
            GrantOutcome::NotRun | GrantOutcome::Lost => {}
            GrantOutcome::Full => {
                self.left_until = self.left_until.max(now + LEFT_MIN / 10);
            }
            GrantOutcome::Unreachable | GrantOutcome::Silent | GrantOutcome::Replaced => {
                self.failures = self.failures.max(BROKEN_MAX - 1) + 1;
                self.leave(now);
            }
            GrantOutcome::Broken => {
                self.failures += 1;
                if self.failures >= BROKEN_MAX {
                    self.leave(now);
                }
            }
        }
    }

    fn leave(&mut self, now: Time) {
        if now < self.left_until {
            return;
        }
        let doublings = self.failures.saturating_sub(BROKEN_MAX).min(3);
        let span = (LEFT_MIN * 2u32.pow(doublings)).min(LEFT_MAX);
        self.left_until = now + span;
        self.trial = true;
        self.tried = None;
    }
}
