//! Slots and circuit breaker of a target.

use std::time::Duration;

use clem_types::{SoftwareVersion, Time};
use serde::{Deserialize, Serialize};

use super::{Budget, Pace, work::TargetWork};

/// First cooldown of a failed target; each further failure doubles it.
const COOLDOWN_MIN: Duration = Duration::from_millis(500);
/// Longest cooldown of a failed target.
const COOLDOWN_MAX: Duration = Duration::from_secs(4);
/// Time that the probe request must stay on a target after its cooldown before the other slots
/// are used: an unreachable or refusing target fails the probe sooner.
const PROBE_SPAN: Duration = Duration::from_millis(500);
/// Consecutive broken answers that start a cooldown; some targets break one now and then.
const BROKEN_MAX: u32 = 3;

/// Capacity of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSlots {
    /// Id of the target.
    pub target: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software; `None` if the platform doesn't say.
    pub version: Option<SoftwareVersion>,
}

/// Reason why a slot was released, which also tells the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The target answered the whole request.
    Answered,
    /// The target answered with an error.
    Failed,
    /// The target ended before its answer had begun: it accepts no connections since.
    Crashed,
    /// The target rejected the request for lack of capacity; it did not run.
    Full,
    /// The request was not sent.
    NotRun,
    /// Connecting failed.
    Unreachable,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The connection broke before the answer had begun, but the target may be running, or be back.
    Cut,
    /// The target did not answer in time.
    Silent,
    /// A different target now listens on the address.
    Replaced,
    /// The holder is gone or does not know the grant; says nothing of the target.
    Lost,
}

/// Slots in use and circuit breaker state of a target.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) slots: TargetSlots,
    pub(super) online: u32,
    pub(super) batch: u32,
    /// Whether the platform lists the target for new work.
    pub(super) listed: bool,
    failures: u32,
    cooldown_until: Time,
    /// Set from the start of a cooldown to the next answer: only one probe request may run.
    probing: bool,
    /// When the probe request was sent.
    probed: Option<Time>,
    /// Requests that it may get, if it has named a limit.
    pub(super) budget: Option<Budget>,
    /// Learned speed and running work.
    pub(super) work: TargetWork,
}

impl Target {
    pub(super) fn new(slots: TargetSlots) -> Self {
        Self {
            slots,
            online: 0,
            batch: 0,
            listed: true,
            failures: 0,
            cooldown_until: Time::ZERO,
            probing: false,
            probed: None,
            budget: None,
            work: TargetWork::default(),
        }
    }

    pub(super) fn used(&self) -> u32 {
        self.online + self.batch
    }

    /// Number of slots that may be in use now: one while the target is probed.
    pub(super) fn usable(&self, now: Time) -> u32 {
        if !self.is_up(now) {
            return 0;
        }
        let passed = self.probed.is_some_and(|at| now.since(at) >= PROBE_SPAN);
        if self.probing && !passed {
            1
        } else {
            self.slots.slots
        }
    }

    /// Number of slots that may be granted now.
    pub(super) fn free(&self, now: Time) -> u32 {
        let free = self.usable(now).saturating_sub(self.used());
        match &self.budget {
            Some(budget) => free.min(budget.available(now)),
            None => free,
        }
    }

    /// Whether its limit, if it has one, lets it get a request of this class now.
    pub(super) fn has_budget(&self, now: Time, batch: bool) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let available = if batch {
            budget.available_to_batch(now)
        } else {
            budget.available(now)
        };
        available > 0
    }

    /// Installs how many requests it may get; `None` for as many as it has slots.
    pub(super) fn set_pace(&mut self, now: Time, pace: Option<Pace>) {
        match (&mut self.budget, pace) {
            (Some(budget), Some(pace)) => budget.set_pace(now, pace),
            (None, Some(pace)) => self.budget = Some(Budget::paced(now, pace)),
            (_, None) => self.budget = None,
        }
    }

    /// Whether the target counts as capacity: listed and not in a cooldown.
    pub(super) fn is_up(&self, now: Time) -> bool {
        self.listed && now >= self.cooldown_until
    }

    pub(super) fn occupy(&mut self, now: Time, batch: bool) {
        if self.probing && self.probed.is_none() {
            self.probed = Some(now);
        }
        self.work.begin(now, batch);
        if batch {
            self.batch += 1;
        } else {
            self.online += 1;
        }
    }

    pub(super) fn release(&mut self, now: Time, batch: bool, ended: GrantOutcome) {
        if self.used() <= 1 {
            // The next request is the new probe, unless this one was answered.
            self.probed = None;
        }
        let count = if batch {
            &mut self.batch
        } else {
            &mut self.online
        };
        *count = count.saturating_sub(1);
        if ended == GrantOutcome::NotRun
            && let Some(budget) = &mut self.budget
        {
            budget.refund(now);
        }
        match ended {
            GrantOutcome::Answered | GrantOutcome::Failed => {
                self.failures = 0;
                self.probing = false;
            }
            GrantOutcome::NotRun | GrantOutcome::Lost => {}
            GrantOutcome::Full => {
                self.cooldown_until = self.cooldown_until.max(now + COOLDOWN_MIN / 10);
            }
            GrantOutcome::Unreachable
            | GrantOutcome::Crashed
            | GrantOutcome::Silent
            | GrantOutcome::Replaced => {
                self.failures = self.failures.max(BROKEN_MAX - 1) + 1;
                self.start_cooldown(now);
            }
            GrantOutcome::Broken | GrantOutcome::Cut => {
                self.failures += 1;
                if self.failures >= BROKEN_MAX {
                    self.start_cooldown(now);
                }
            }
        }
    }

    fn start_cooldown(&mut self, now: Time) {
        if now < self.cooldown_until {
            return;
        }
        let doublings = self.failures.saturating_sub(BROKEN_MAX).min(3);
        let span = (COOLDOWN_MIN * 2u32.pow(doublings)).min(COOLDOWN_MAX);
        self.cooldown_until = now + span;
        self.probing = true;
        self.probed = None;
    }
}
