//! How long an online request that meets a batch step may be held up without moving the tail.

use std::time::Duration;

/// How many first-token times are kept.
const KEPT: usize = 512;
/// New samples before the bound is computed again.
const REFRESH_AFTER: usize = 16;
/// The quantile of first-token times that batch must not move.
const QUANTILE: f64 = 0.99;
/// The longest bound, in microseconds.
const LONGEST: f64 = 1e6;
/// Halvings in the search for the bound.
const HALVINGS: usize = 20;

/// A first-token time as it would have been without batch, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Sample {
    micros: f64,
    /// Whether the engine held no other online request: only then it may meet a full batch step.
    alone: bool,
}

/// Learns the first-token times of online requests, and from them how long a step without online
/// requests may be.
///
/// A request that arrives alone waits for the rest of a batch step, anything between nothing and
/// the whole of it. It moves the tail only if that wait takes it beyond the tail. The bound is the
/// longest step for which no more than a given share of all requests is taken there.
#[derive(Debug)]
pub(crate) struct Tail {
    harm: f64,
    risk: f64,
    samples: Vec<Sample>,
    place: usize,
    fresh: usize,
    bound: Option<f64>,
}

impl Tail {
    /// No more than the share `risk` of requests may be taken beyond the tail raised by `harm`.
    pub(crate) fn new(harm: f64, risk: f64) -> Self {
        Self {
            harm,
            risk,
            samples: Vec::new(),
            place: 0,
            fresh: 0,
            bound: None,
        }
    }

    /// Takes in a first-token time, corrected for what batch added to it.
    pub(crate) fn add(&mut self, elapsed: Duration, alone: bool) {
        let micros = elapsed.as_secs_f64() * 1e6;
        let sample = Sample { micros, alone };
        if self.samples.len() < KEPT {
            self.samples.push(sample);
        } else {
            self.samples[self.place] = sample;
            self.place = (self.place + 1) % KEPT;
        }
        self.fresh += 1;
        if self.fresh >= REFRESH_AFTER || self.bound.is_none() {
            self.fresh = 0;
            self.bound = Some(self.longest());
        }
    }

    /// The longest step that may run when a request can arrive; none before the first request.
    pub(crate) fn bound(&self) -> Option<Duration> {
        let micros = self.bound?;
        Some(Duration::from_secs_f64(micros / 1e6))
    }

    fn longest(&self) -> f64 {
        let mut sorted: Vec<f64> = self.samples.iter().map(|sample| sample.micros).collect();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len() - 1;
        let limit = sorted[(last as f64 * QUANTILE) as usize] * (1.0 + self.harm);
        let (mut low, mut high) = (0.0, LONGEST);
        for _ in 0..HALVINGS {
            let middle = (low + high) / 2.0;
            if self.beyond(limit, middle) <= self.risk {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// The share of requests that a step of `step` microseconds takes beyond `limit`.
    fn beyond(&self, limit: f64, step: f64) -> f64 {
        let mut taken = 0.0;
        for sample in &self.samples {
            if !sample.alone || sample.micros >= limit {
                continue;
            }
            taken += (1.0 - (limit - sample.micros) / step).max(0.0);
        }
        taken / self.samples.len() as f64
    }
}
