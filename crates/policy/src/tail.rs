//! Effect of batch steps on the tail of the online requests' time to first token.

use std::time::Duration;

/// Number of samples in the sliding window.
const WINDOW: usize = 512;
/// Number of samples below which the estimate is not relied upon.
const SAMPLES_MIN: usize = 64;
/// New samples after which the estimate is computed again.
const REFRESH_AFTER: usize = 16;
/// Quantile of the time to first token that batch must not raise.
const QUANTILE: f64 = 0.99;
/// Upper limit of the step bound, in microseconds.
const BOUND_MAX_US: f64 = 1e6;
/// Bisections in the search for the step bound.
const BISECTIONS: usize = 20;

/// Time to first token of an online request without the delay caused by batch.
#[derive(Debug, Clone, Copy)]
struct Sample {
    micros: f64,
    /// Whether no online stream had a token yet: only then may the request have to wait for a full
    /// batch step.
    alone: bool,
}

/// Learns the distribution of the online requests' time to first token, and from it how long steps
/// of batch alone may be.
///
/// A request that arrives alone waits for the rest of the batch step in progress, which is uniform
/// between zero and the whole step. The wait moves the tail only if it exceeds the headroom of the
/// request, which is the difference between its own time and the tail.
#[derive(Debug)]
pub(crate) struct Tail {
    slowdown: f64,
    risk: f64,
    samples: Vec<Sample>,
    next: usize,
    fresh: usize,
    /// Positive headrooms of requests that arrived alone, ascending, each with the sum up to it.
    headrooms: Vec<(f64, f64)>,
    bound: Option<f64>,
}

impl Tail {
    /// Batch may move at most the fraction `risk` of the requests beyond the tail, which is the
    /// quantile raised by the fraction `slowdown`.
    pub(crate) fn new(slowdown: f64, risk: f64) -> Self {
        Self {
            slowdown,
            risk,
            samples: Vec::new(),
            next: 0,
            fresh: 0,
            headrooms: Vec::new(),
            bound: None,
        }
    }

    /// Adds a time to first token, less the delay caused by batch.
    pub(crate) fn add(&mut self, elapsed: Duration, alone: bool) {
        let micros = micros(elapsed);
        let sample = Sample { micros, alone };
        if self.samples.len() < WINDOW {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
            self.next = (self.next + 1) % WINDOW;
        }
        self.fresh += 1;
        if self.fresh >= REFRESH_AFTER || self.bound.is_none() {
            self.fresh = 0;
            self.refresh();
        }
    }

    /// Whether there are enough samples to rely on the estimate.
    pub(crate) fn is_known(&self) -> bool {
        self.samples.len() >= SAMPLES_MIN
    }

    /// Upper bound of the time of steps that run continuously while there are no online requests;
    /// `None` before the first request.
    ///
    /// The bound is at least `prior` until there are enough samples.
    pub(crate) fn bound(&self, prior: Duration) -> Option<Duration> {
        let bound = Duration::from_secs_f64(self.bound? / 1e6);
        if self.is_known() {
            return Some(bound);
        }
        Some(bound.max(prior))
    }

    /// Cost of a step: its time, weighted by the fraction of requests that would exceed the tail if
    /// such steps ran continuously, and by how much it exceeds twice the bound, as a long step
    /// delays several requests of a burst.
    pub(crate) fn cost(&self, step: Duration) -> Duration {
        let micros = micros(step);
        let bound = self.bound.unwrap_or(BOUND_MAX_US).max(1.0);
        step.mul_f64(self.exceeding(micros) * (micros / (2.0 * bound)).max(1.0))
    }

    fn refresh(&mut self) {
        let mut sorted: Vec<f64> = self.samples.iter().map(|sample| sample.micros).collect();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len() - 1;
        let limit = sorted[(last as f64 * QUANTILE) as usize] * (1.0 + self.slowdown);
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
        self.bound = Some(self.search_bound());
    }

    fn search_bound(&self) -> f64 {
        let (mut low, mut high) = (0.0, BOUND_MAX_US);
        for _ in 0..BISECTIONS {
            let middle = (low + high) / 2.0;
            if self.exceeding(middle) <= self.risk {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Fraction of the requests that exceed the tail with steps of `step` microseconds.
    fn exceeding(&self, step: f64) -> f64 {
        let exceeded = self.headrooms.partition_point(|(room, _)| *room < step);
        if exceeded == 0 {
            return 0.0;
        }
        let (_, sum) = self.headrooms[exceeded - 1];
        (exceeded as f64 - sum / step) / self.samples.len() as f64
    }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
