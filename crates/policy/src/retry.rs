//! Retries of failed attempts, and jitter of the retry delays given to callers.
//!
//! A budget limits the retries of a process to a tenth of its first attempts, so that the loss of a
//! data centre does not multiply the load on the others. See `docs/design/online.md`, "Dispatch".

use std::time::Duration;

use clem_types::Time;
use rand::Rng;

/// Retries earned by each first attempt.
const EARNED: f64 = 0.1;
/// Maximum number of retries in the budget.
const BUDGET_MAX: f64 = 20.0;
/// Maximum number of attempts at one request.
const ATTEMPTS_MAX: u32 = 3;
/// Time to the deadline below which a request is not retried.
const LEFT_MIN: Duration = Duration::from_millis(50);
/// Maximum jitter, as a fraction of the retry delay.
const JITTER: f64 = 0.5;

/// Whether a failed attempt may have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target confirmed that the request did not and will not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request to another target.
    Retry,
    /// Answer the caller with the failure.
    GiveUp,
}

/// Retry budget of a process; it starts full.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: BUDGET_MAX }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which adds a fraction of a retry to the budget.
    pub fn first(&mut self) {
        self.level = (self.level + EARNED).min(BUDGET_MAX);
    }

    /// Decides whether to retry after `attempts` attempts, and charges a retry to the budget.
    ///
    /// Requests that may have run are retried only if they are idempotent.
    pub fn decide(
        &mut self,
        now: Time,
        deadline: Time,
        attempts: u32,
        idempotent: bool,
        failure: Failure,
    ) -> Verdict {
        let safe = idempotent || failure == Failure::NotRun;
        let late = deadline.since(now) < LEFT_MIN;
        if !safe || late || attempts >= ATTEMPTS_MAX || self.level < 1.0 {
            return Verdict::GiveUp;
        }
        self.level -= 1.0;
        Verdict::Retry
    }
}

/// Adds random jitter to a retry delay of `base_ms` milliseconds, so that callers that were refused
/// together do not retry at the same time.
pub fn jitter(rng: &mut impl Rng, base_ms: u32) -> u32 {
    let extra = f64::from(base_ms) * JITTER * rng.random::<f64>();
    base_ms.saturating_add(extra as u32)
}
