//! Cost model of an engine's steps and prefills, learned from the times between tokens.

use std::time::Duration;

use clem_types::Time;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prompts below this many tokens are ignored: their prefill is short against a step.
const SHORT_PROMPT: u32 = 16;
/// Prompts of at least this many tokens count with full weight; shorter ones are less accurate.
const LONG_PROMPT: u32 = 500;
/// Samples of a stream count before its mean is used.
const MIN_SAMPLES: u32 = 4;

/// Mean time between tokens for one number of concurrent streams.
#[derive(Debug, Clone, Copy, Default)]
struct Gap {
    micros: f64,
    samples: u32,
}

/// Linear model of the step time, and the prefill time per prompt token.
///
/// A step of `n` streams takes `base + stream * n`; both parameters are fitted to the observed
/// times between tokens by least squares.
#[derive(Debug)]
pub struct CostModel {
    gaps: Vec<Gap>,
    base: f64,
    stream: f64,
    prompt: f64,
}

impl CostModel {
    /// Creates a model without samples, for an engine of up to `streams` concurrent streams.
    pub fn new(streams: usize) -> Self {
        Self {
            gaps: vec![Gap::default(); streams + 1],
            base: 0.0,
            stream: 0.0,
            prompt: 0.0,
        }
    }

    /// Adds a sample: the time between two tokens of a stream while `streams` ran and none of them
    /// was in prefill.
    pub fn gap(&mut self, streams: usize, gap: Duration) {
        let Some(mean) = self.gaps.get_mut(streams) else {
            return;
        };
        let micros = micros(gap);
        if mean.samples < MIN_SAMPLES {
            let n = f64::from(mean.samples);
            mean.micros = (mean.micros * n + micros) / (n + 1.0);
        } else {
            // Limits the effect of a single slow step.
            let micros = micros.min(mean.micros * 2.0);
            mean.micros += SAMPLE_WEIGHT * (micros - mean.micros);
        }
        mean.samples = mean.samples.saturating_add(1);
        self.fit();
    }

    /// Adds a sample: a prompt of `tokens` was sent while `others` streams ran, and its first
    /// token came after `elapsed`.
    ///
    /// A prompt that was not the `only` one in prefill is ignored, except as the first sample.
    pub fn prefill(&mut self, others: usize, tokens: u32, elapsed: Duration, only: bool) {
        if tokens < SHORT_PROMPT || (!only && self.prompt > 0.0) {
            return;
        }
        // A prompt waits for the step in progress, of which half is left on average.
        let wait = if others == 0 {
            0.0
        } else {
            micros(self.step(others)) / 2.0
        };
        let step = micros(self.step(others + 1));
        let each = (micros(elapsed) - wait - step).max(0.0) / f64::from(tokens);
        if self.prompt == 0.0 {
            self.prompt = each;
        }
        let weight = SAMPLE_WEIGHT * f64::from(tokens.min(LONG_PROMPT)) / f64::from(LONG_PROMPT);
        self.prompt += weight * (each - self.prompt);
    }

    /// Expected time of a step with `streams` streams and no prefill; zero without an estimate.
    pub fn step(&self, streams: usize) -> Duration {
        duration(self.base + self.stream * streams as f64)
    }

    /// Expected time of a prefill of `tokens`; zero without an estimate.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        duration(self.prompt * f64::from(tokens))
    }

    /// Number of streams that can be added to `streams` without raising the step time by more than
    /// the fraction `slowdown`; `None` without an estimate.
    pub fn extra(&self, streams: usize, slowdown: f64) -> Option<usize> {
        if self.stream <= 0.0 {
            return None;
        }
        let slack = slowdown * (self.base + self.stream * streams as f64);
        Some((slack / self.stream) as usize)
    }

    /// Maximum number of streams with a step time within `bound`; `None` without an estimate.
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
        let variance = n * sxx - sx * sx;
        if variance <= 0.0 {
            return;
        }
        self.stream = ((n * sxy - sx * sy) / variance).max(1.0);
        self.base = ((sy - self.stream * sx) / n).max(0.0);
    }
}

/// Token bucket of engine time that fills in proportion to the elapsed time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TimeBudget {
    micros: f64,
    at: Time,
}

impl TimeBudget {
    /// Adds `share` of the time since the last call, up to a level of `max`.
    pub(crate) fn fill(&mut self, now: Time, share: f64, max: Duration) {
        self.micros += share * micros(now.since(self.at));
        self.micros = self.micros.min(micros(max));
        self.at = now;
    }

    /// Takes `cost` if the level covers it; returns whether it did.
    pub(crate) fn take(&mut self, cost: Duration) -> bool {
        if self.micros < micros(cost) {
            return false;
        }
        self.micros -= micros(cost);
        true
    }

    /// Takes `cost` if the level is positive; returns whether it did. The level may become
    /// negative, so that a cost above the maximum level can be paid.
    pub(crate) fn overdraw(&mut self, cost: Duration) -> bool {
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
