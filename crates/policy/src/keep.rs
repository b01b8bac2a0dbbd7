//! How long an engine keeps the KV cache of a parked stream.

use std::time::Duration;

/// What is believed before anything is known.
const FIRST: Duration = Duration::from_secs(4);
/// The weight of a new outcome.
const WEIGHT: f64 = 0.2;
/// The share of lost caches from which on none is relied upon.
const MOST_LOST: f64 = 0.02;
/// The longest that is believed.
const MOST: Duration = Duration::from_secs(60);

/// Learns from resumed streams for how long a parked one can be resumed without a prefill.
///
/// Parked caches share the engine's memory with all other caches and go when it is full, without
/// a word; a resume that had to read in everything again tells by its late first token.
#[derive(Debug)]
pub(crate) struct Keep {
    span: Duration,
    lost: f64,
}

impl Keep {
    pub(crate) fn new() -> Self {
        Self {
            span: FIRST,
            lost: 0.0,
        }
    }

    /// Takes in a resume after `age`, and whether the cache was still there.
    ///
    /// The span grows only by resumes that were prepared for a prefill, so that growing costs
    /// nothing.
    pub(crate) fn resumed(&mut self, age: Duration, kept: bool) {
        let outcome = if kept { 0.0 } else { 1.0 };
        self.lost += WEIGHT * (outcome - self.lost);
        if !kept {
            self.span = self.span.min(age / 2);
            return;
        }
        if age > self.span {
            let grown = self.span.mul_f64(1.2) + Duration::from_millis(1);
            self.span = grown.min(age).min(MOST);
        }
    }

    /// Whether a stream that has been parked for `age` is likely to have its cache.
    pub(crate) fn is_kept(&self, age: Duration) -> bool {
        self.lost <= MOST_LOST && age <= self.span
    }
}
