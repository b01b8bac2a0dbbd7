//! Estimate of the work queued at a target.

use clem_types::Time;

use super::STREAM_TOKENS;

/// Half-life of the reported load of other entries, in seconds.
const HALF_LIFE_S: f64 = 1.0;
/// Approximate prefill rate of a target, in tokens per second.
const PREFILL_PER_S: f64 = 30_000.0;

/// Load report of a target; outdated by the network delay when it arrives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of running and queued requests.
    pub streams: u32,
    /// Queued prompt tokens.
    pub tokens: u64,
}

/// Last load report, corrected by the requests that this entry has sent and finished since.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Estimate {
    report: Report,
    at: Time,
    /// This entry's requests in flight.
    own: u32,
    /// This entry's requests in flight when the report came, which includes them.
    counted: u32,
    /// Prompt tokens of own requests that still needed prefill at `sent`.
    prefill: f64,
    sent: Time,
}

impl Estimate {
    /// Counts a request that needs a prefill of `tokens`.
    pub(super) fn sent(&mut self, now: Time, tokens: u32) {
        self.prefill = self.prefill_now(now) + f64::from(tokens);
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

    /// Work ahead of a new request, in tokens.
    pub(super) fn work(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let decay = (-age / HALF_LIFE_S).exp2();
        let others = f64::from(self.report.streams.saturating_sub(self.counted)) * decay;
        let streams = others + f64::from(self.own);
        let queued = self.report.tokens as f64 * decay;
        streams * STREAM_TOKENS + queued.max(self.prefill_now(now))
    }

    fn prefill_now(&self, now: Time) -> f64 {
        let done = now.since(self.sent).as_secs_f64() * PREFILL_PER_S;
        (self.prefill - done).max(0.0)
    }
}
