//! When a request is tried again, and when a caller should come back.
//!
//! A process spends at most a tenth of its first attempts on retries, so that a lost data centre
//! does not multiply the load on the rest. See `docs/design/online.md`, "Retries".

use std::time::Duration;

use clem_types::Time;
use rand::Rng;

/// The share of first attempts that retries may add.
const SHARE: f64 = 0.1;
/// Retries that may be saved up.
const SAVED_MAX: f64 = 20.0;
/// The most attempts at one request.
const ATTEMPTS_MAX: u32 = 3;
/// A retry with less time left than this is not worth it.
const LEFT_MIN: Duration = Duration::from_millis(50);
/// The widest spread of callers that are told to come back, as a share of the time.
const JITTER: f64 = 0.5;

/// What an attempt that brought no whole answer leaves behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It is attested that it did not run and never will.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Whether to try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Try another target.
    Retry,
    /// Give the final answer, now.
    GiveUp,
}

/// The retry budget of a process.
#[derive(Debug, Clone)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: SAVED_MAX }
    }
}

impl Budget {
    /// Counts a first attempt, which earns a part of a retry.
    pub fn first(&mut self) {
        self.saved = (self.saved + SHARE).min(SAVED_MAX);
    }

    /// Decides after a failed attempt, and spends from the budget when it says to retry.
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
        if !safe || late || attempts >= ATTEMPTS_MAX || self.saved < 1.0 {
            return Verdict::GiveUp;
        }
        self.saved -= 1.0;
        Verdict::Retry
    }
}

/// When a caller should come back, in milliseconds: at least `base_ms`, and spread so that those
/// who were refused together do not all come back in the same moment.
pub fn jitter(rng: &mut impl Rng, base_ms: u32) -> u32 {
    let extra = f64::from(base_ms) * JITTER * rng.random::<f64>();
    base_ms.saturating_add(extra as u32)
}
