//! What an engine's step costs, learned from the tokens that come back.

use std::time::Duration;

use clem_types::Time;

/// The weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prompt tokens whose prefill is lost in the time of a step.
const SHORT_PROMPT: u32 = 16;
/// Prompt tokens whose prefill is long enough to be measured well.
const LONG_PROMPT: u32 = 500;
/// Samples of a stream count before its mean is used.
const MIN_SAMPLES: u32 = 4;

/// The mean time between tokens at one count of streams.
#[derive(Debug, Clone, Copy, Default)]
struct Gap {
    micros: f64,
    samples: u32,
}

/// Learns the time of a step from the count of streams in it, and the time of a prompt token.
///
/// The engine is taken to need `base + stream * n` for a step of `n` streams; both are fitted to
/// the observed times between tokens by least squares.
#[derive(Debug)]
pub struct Pace {
    gaps: Vec<Gap>,
    base: f64,
    stream: f64,
    prompt: f64,
}

impl Pace {
    /// Knows nothing yet of an engine that takes up to `streams` streams.
    pub fn new(streams: usize) -> Self {
        Self {
            gaps: vec![Gap::default(); streams + 1],
            base: 0.0,
            stream: 0.0,
            prompt: 0.0,
        }
    }

    /// Takes in the time between two tokens of a stream, when `streams` ran and none of them was
    /// in prefill.
    pub fn gap(&mut self, streams: usize, gap: Duration) {
        let Some(mean) = self.gaps.get_mut(streams) else {
            return;
        };
        let micros = micros(gap);
        if mean.samples < MIN_SAMPLES {
            let n = f64::from(mean.samples);
            mean.micros = (mean.micros * n + micros) / (n + 1.0);
        } else {
            // One slow step must not be learned as the pace.
            let micros = micros.min(mean.micros * 2.0);
            mean.micros += SAMPLE_WEIGHT * (micros - mean.micros);
        }
        mean.samples = mean.samples.saturating_add(1);
        self.fit();
    }

    /// Takes in the prefill of a prompt of `tokens` that was sent to the engine beside `beside`
    /// other streams, and whose first token came after `elapsed`. It must have been the only
    /// prefill of that time, unless nothing is known yet.
    pub fn prefill(&mut self, beside: usize, tokens: u32, elapsed: Duration, only: bool) {
        if tokens < SHORT_PROMPT || (!only && self.prompt > 0.0) {
            return;
        }
        // A prompt that comes within a step waits for the rest of it, half of it on average.
        let wait = if beside == 0 {
            0.0
        } else {
            micros(self.step(beside)) / 2.0
        };
        let step = micros(self.step(beside + 1));
        let each = (micros(elapsed) - wait - step).max(0.0) / f64::from(tokens);
        if self.prompt == 0.0 {
            self.prompt = each;
        }
        let weight = SAMPLE_WEIGHT * f64::from(tokens.min(LONG_PROMPT)) / f64::from(LONG_PROMPT);
        self.prompt += weight * (each - self.prompt);
    }

    /// The expected time of a step with `streams` streams and no prefill.
    pub fn step(&self, streams: usize) -> Duration {
        duration(self.base + self.stream * streams as f64)
    }

    /// The expected time of the prefill of `tokens`.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        duration(self.prompt * f64::from(tokens))
    }

    /// How many more streams fit beside `streams` without raising the step by more than `harm`;
    /// none while the pace isn't known.
    pub fn extra(&self, streams: usize, harm: f64) -> Option<usize> {
        if self.stream <= 0.0 {
            return None;
        }
        let slack = harm * (self.base + self.stream * streams as f64);
        Some((slack / self.stream) as usize)
    }

    /// The most streams whose step stays within `bound`; none while the pace isn't known.
    pub fn within(&self, bound: Duration) -> Option<usize> {
        if self.stream <= 0.0 {
            return None;
        }
        Some(((micros(bound) - self.base) / self.stream).max(0.0) as usize)
    }

    fn fit(&mut self) {
        let (mut n, mut sx, mut sy, mut sxx, mut sxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (streams, gap) in self.gaps.iter().enumerate() {
            if gap.samples < MIN_SAMPLES {
                continue;
            }
            let x = streams as f64;
            n += 1.0;
            sx += x;
            sy += gap.micros;
            sxx += x * x;
            sxy += x * gap.micros;
        }
        let spread = n * sxx - sx * sx;
        if spread <= 0.0 {
            return;
        }
        self.stream = ((n * sxy - sx * sy) / spread).max(1.0);
        self.base = ((sy - self.stream * sx) / n).max(0.0);
    }
}

/// A budget of time that fills at a share of the time passed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Allowance {
    micros: f64,
    at: Time,
}

impl Allowance {
    /// Fills the budget up to `now`; it never holds more than `most`.
    pub(crate) fn fill(&mut self, now: Time, share: f64, most: Duration) {
        self.micros += share * micros(now.since(self.at));
        self.micros = self.micros.min(micros(most));
        self.at = now;
    }

    /// Takes `cost` out if the budget holds it.
    pub(crate) fn take(&mut self, cost: Duration) -> bool {
        if self.micros < micros(cost) {
            return false;
        }
        self.micros -= micros(cost);
        true
    }

    /// Takes `cost` out if the budget isn't used up; it may end below nothing and is then paid off
    /// by time, so that no cost is too large for it.
    pub(crate) fn owe(&mut self, cost: Duration) -> bool {
        if !cost.is_zero() && self.micros <= 0.0 {
            return false;
        }
        self.micros -= micros(cost);
        true
    }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

fn duration(micros: f64) -> Duration {
    Duration::from_secs_f64(micros.max(0.0) / 1e6)
}
