//! How much work stands before a new request at a target.

use clem_types::Time;

use super::STREAM_TOKENS;

/// The span after which what others sent counts half, in seconds.
const HALF_LIFE: f64 = 1.0;

/// A target's own word on its load; it is old when it arrives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that run or wait.
    pub streams: u32,
    /// Prompt tokens that wait to be read in.
    pub tokens: u64,
}

/// The last report, corrected by what this entry did since.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Estimate {
    report: Report,
    at: Time,
    /// Own requests under way.
    own: u32,
    own_tokens: u64,
    /// Own requests under way when the report came; it counts them already.
    counted: u32,
    /// Tokens of own requests that were sent since the report.
    since_tokens: u64,
}

impl Estimate {
    pub(super) fn sent(&mut self, cost: u32) {
        self.own += 1;
        self.own_tokens += u64::from(cost);
        self.since_tokens += u64::from(cost);
    }

    pub(super) fn finished(&mut self, cost: u32) {
        self.own = self.own.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(cost.into());
    }

    pub(super) fn report(&mut self, now: Time, report: Report) {
        self.report = report;
        self.at = now;
        self.counted = self.own;
        self.since_tokens = 0;
    }

    pub(super) fn own(&self) -> u32 {
        self.own
    }

    /// The work before a new request, in tokens.
    pub(super) fn work(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let fade = (-age / HALF_LIFE).exp2();
        let others = f64::from(self.report.streams.saturating_sub(self.counted)) * fade;
        let streams = others + f64::from(self.own);
        let queued = self.report.tokens as f64 * fade;
        let since = self.since_tokens.min(self.own_tokens) as f64;
        streams * STREAM_TOKENS + queued + since
    }
}
