//! The one setting that weighs online harm against batch throughput.

use std::{fmt, str::FromStr};

/// How much slower batch may make a step, at the start, middle and end of the scale.
const HARM: [f64; 3] = [0.0, 0.06, 0.22];
/// The share of online requests that may be taken beyond the tail.
const RISK: [f64; 3] = [0.0008, 0.0024, 0.0050];
/// The share of steps with online streams that may hold a batch prefill.
const PREFILL_SHARE: [f64; 3] = [0.0005, 0.0025, 0.0045];
/// The end of the scale.
const SCALE: u8 = 100;

/// Where an agent stands between sparing online requests (0) and batch throughput (100).
///
/// At every point online requests are admitted first; the balance says how much slower batch
/// streams may make those that run. See `docs/design/agent.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Balance(u8);

impl Balance {
    /// Half way between the ends.
    pub const DEFAULT: Self = Self(50);

    /// A point of the scale; none above 100.
    pub fn new(point: u8) -> Option<Self> {
        (point <= SCALE).then_some(Self(point))
    }

    /// The share by which batch may raise the time between tokens of online requests.
    pub fn harm(self) -> f64 {
        self.between(HARM)
    }

    /// The share of online requests that batch may take beyond the tail of first-token times.
    pub fn risk(self) -> f64 {
        self.between(RISK)
    }

    /// The share of steps with online streams that may hold a batch prefill.
    pub fn prefill_share(self) -> f64 {
        self.between(PREFILL_SHARE)
    }

    /// The value at this point of a scale that is given at its start, middle and end.
    fn between(self, scale: [f64; 3]) -> f64 {
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
