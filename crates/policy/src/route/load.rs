//! How much work stands before a new request at a target.

use clem_types::Time;

use super::STREAM_TOKENS;

/// The span after which what others sent counts half, in seconds.
const HALF_LIFE: f64 = 1.0;
/// Prompt tokens that a target reads in a second, about.
const READ_PER_SECOND: f64 = 30_000.0;

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
    /// Own requests under way when the report came; it counts them already.
    counted: u32,
    /// Prompt tokens of own requests that were not read in yet at `sent`.
    unread: f64,
    sent: Time,
}

impl Estimate {
    /// Counts a request of which the target has to read in `unread` tokens.
    pub(super) fn sent(&mut self, now: Time, unread: u32) {
        self.unread = self.unread_now(now) + f64::from(unread);
        self.sent = now;
        self.own += 1;
    }

    pub(super) fn finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub(super) fn report(&mut self, now: Time, report: Report) {
        self.report = report;
        self.at = now;
        self.counted = self.own;
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
        streams * STREAM_TOKENS + queued.max(self.unread_now(now))
    }

    fn unread_now(&self, now: Time) -> f64 {
        let read = now.since(self.sent).as_secs_f64() * READ_PER_SECOND;
        (self.unread - read).max(0.0)
    }
}
