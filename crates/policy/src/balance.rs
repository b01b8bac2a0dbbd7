//! Trade-off between online latency and batch throughput, as one setting.

use std::{fmt, str::FromStr};

/// Fraction by which batch may slow a step, at 0, 50 and 100 of the scale.
const SLOWDOWN: [f64; 3] = [0.0, 0.06, 0.22];
/// Fraction of online requests that batch may move beyond the tail, at 0, 50 and 100.
const RISK: [f64; 3] = [0.0008, 0.0024, 0.0050];
/// Fraction of steps with online streams that may include a batch prefill, at 0, 50 and 100.
const PREFILL_SHARE: [f64; 3] = [0.0005, 0.0025, 0.0045];
/// Upper end of the scale.
const SCALE: u8 = 100;

/// Trade-off of an agent, from lowest online latency (0) to highest batch throughput (100).
///
/// Online requests are always admitted first; the setting determines how much batch streams may
/// slow the running ones. See `docs/design/agent.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Balance(u8);

impl Balance {
    /// Middle of the scale.
    pub const DEFAULT: Self = Self(50);

    /// Returns `None` for a value above 100.
    pub fn new(point: u8) -> Option<Self> {
        (point <= SCALE).then_some(Self(point))
    }

    /// Fraction by which batch may raise the time between tokens of online requests.
    pub fn slowdown(self) -> f64 {
        self.interpolate(SLOWDOWN)
    }

    /// Fraction of online requests that batch may move beyond the tail of the time to first token.
    pub fn risk(self) -> f64 {
        self.interpolate(RISK)
    }

    /// Fraction of steps with online streams that may include a batch prefill.
    pub fn prefill_share(self) -> f64 {
        self.interpolate(PREFILL_SHARE)
    }

    /// Piecewise linear interpolation between the values at 0, 50 and 100.
    fn interpolate(self, scale: [f64; 3]) -> f64 {
        let [start, middle, end] = scale;
        let point = f64::from(self.0) / f64::from(SCALE) * 2.0;
        if point <= 1.0 {
            return start + (middle - start) * point;
        }
        middle + (end - middle) * (point - 1.0)
    }
}

impl fmt::Display for Balance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Balance {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let point = text.parse().ok().and_then(Self::new);
        point.ok_or("it is not a whole number from 0 to 100")
    }
}
