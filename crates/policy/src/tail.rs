//! What a batch step costs the online request that meets it.

use std::time::Duration;

/// How many first-token times are kept.
const KEPT: usize = 512;
/// So many samples and fewer say little.
const FEW: usize = 64;
/// New samples before the figures are computed again.
const REFRESH_AFTER: usize = 16;
/// The quantile of first-token times that batch must not move.
const QUANTILE: f64 = 0.99;
/// The longest bound on a step, in microseconds.
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

/// Learns the first-token times of online requests, and from them what steps without online
/// requests may cost.
///
/// A request that arrives alone waits for the rest of a batch step, anything between nothing and
/// the whole of it. It moves the tail only if that wait takes it beyond the tail, so each sample
/// has a headroom: what is left between its own time and the tail.
#[derive(Debug)]
pub(crate) struct Tail {
    harm: f64,
    risk: f64,
    samples: Vec<Sample>,
    place: usize,
    fresh: usize,
    /// The headrooms of requests that arrived alone, ascending, each with the sum up to it.
    headrooms: Vec<(f64, f64)>,
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
            headrooms: Vec::new(),
            bound: None,
        }
    }

    /// Takes in a first-token time, corrected for what batch added to it.
    pub(crate) fn add(&mut self, elapsed: Duration, alone: bool) {
        let micros = micros(elapsed);
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
            self.refresh();
        }
    }

    /// Whether enough requests have been seen.
    pub(crate) fn is_known(&self) -> bool {
        self.samples.len() >= FEW
    }

    /// The longest step that may run all the time while there are no online requests; none before
    /// the first request.
    ///
    /// Few requests say little of the tail: up to then, the bound is at least `prior`.
    pub(crate) fn bound(&self, prior: Duration) -> Option<Duration> {
        let bound = Duration::from_secs_f64(self.bound? / 1e6);
        if self.is_known() {
            return Some(bound);
        }
        Some(bound.max(prior))
    }

    /// The time of a step, weighted by the share of requests that it would take beyond the tail
    /// if it ran all the time, and by how much longer than twice the bound it is: a request that
    /// comes in a burst is not the only one that meets a long step.
    pub(crate) fn cost(&self, step: Duration) -> Duration {
        let micros = micros(step);
        let bound = self.bound.unwrap_or(LONGEST).max(1.0);
        step.mul_f64(self.beyond(micros) * (micros / (2.0 * bound)).max(1.0))
    }

    fn refresh(&mut self) {
        let mut sorted: Vec<f64> = self.samples.iter().map(|sample| sample.micros).collect();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len() - 1;
        let limit = sorted[(last as f64 * QUANTILE) as usize] * (1.0 + self.harm);
        let alone = self.samples.iter().filter(|sample| sample.alone);
        let mut rooms: Vec<f64> = alone.map(|sample| limit - sample.micros).collect();
        rooms.retain(|room| *room > 0.0);
        rooms.sort_by(f64::total_cmp);
        self.headrooms.clear();
        let mut sum = 0.0;
        for room in rooms {
            sum += room;
            self.headrooms.push((room, sum));
        }
        self.bound = Some(self.longest());
    }

    fn longest(&self) -> f64 {
        let (mut low, mut high) = (0.0, LONGEST);
        for _ in 0..HALVINGS {
            let middle = (low + high) / 2.0;
            if self.beyond(middle) <= self.risk {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// The share of requests that steps of so many microseconds take beyond the tail.
    fn beyond(&self, step: f64) -> f64 {
        let reached = self.headrooms.partition_point(|(room, _)| *room < step);
        if reached == 0 {
            return 0.0;
        }
        let (_, sum) = self.headrooms[reached - 1];
        (reached as f64 - sum / step) / self.samples.len() as f64
    }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
