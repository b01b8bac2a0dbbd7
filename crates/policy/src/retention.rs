//! Estimate of how long an engine keeps the KV cache of a parked stream.

use std::time::Duration;

/// Estimate before the first observation.
const SPAN_START: Duration = Duration::from_secs(4);
/// Weight of a new observation in the average loss rate.
const LOSS_GAIN: f64 = 0.2;
/// Loss rate above which no cache is relied upon.
const LOSS_MAX: f64 = 0.02;
/// Upper limit of the estimate.
const SPAN_MAX: Duration = Duration::from_secs(60);

/// Learns from resumed streams for how long a parked one can be resumed without a prefill.
///
/// Parked caches share the engine's memory with all other caches and are evicted without notice
/// when it is full. A resume whose cache was evicted is recognised by its late first token.
#[derive(Debug)]
pub(crate) struct CacheRetention {
    span: Duration,
    loss_rate: f64,
}

impl CacheRetention {
    pub(crate) fn new() -> Self {
        Self {
            span: SPAN_START,
            loss_rate: 0.0,
        }
    }

    /// Records a resume of a stream that was parked for `age`, and whether its cache was kept.
    ///
    /// The span grows only by resumes after more than the span, for which a prefill was accounted
    /// anyway, so a wrong guess costs nothing.
    pub(crate) fn resumed(&mut self, age: Duration, kept: bool) {
        let outcome = if kept { 0.0 } else { 1.0 };
        self.loss_rate += LOSS_GAIN * (outcome - self.loss_rate);
        if !kept {
            self.span = self.span.min(age / 2);
            return;
        }
        if age > self.span {
            let grown = self.span.mul_f64(1.2) + Duration::from_millis(1);
            self.span = grown.min(age).min(SPAN_MAX);
        }
    }

    /// Whether the cache of a stream that has been parked for `age` is likely to be kept.
    pub(crate) fn is_kept(&self, age: Duration) -> bool {
        self.loss_rate <= LOSS_MAX && age <= self.span
    }
}
