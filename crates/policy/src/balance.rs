//! The one setting that weighs online harm against batch throughput.

use std::{fmt, str::FromStr};

/// Harm allowed at the middle of the scale, as a share of the latency without batch.
const MIDDLE_HARM: f64 = 0.08;
/// Harm allowed at the batch end of the scale.
const MOST_HARM: f64 = 0.30;
/// The end of the scale.
const SCALE: u8 = 100;

/// Where an agent stands between sparing online requests (0) and batch throughput (100).
///
/// At every point online requests are admitted first; the balance says how much slower batch
/// streams may make those that run. See `docs/notes-agent.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Balance(u8);

impl Balance {
    /// Half way between the ends.
    pub const DEFAULT: Self = Self(50);

    /// A point of the scale; none above 100.
    pub fn new(point: u8) -> Option<Self> {
        (point <= SCALE).then_some(Self(point))
    }

    /// The share by which batch may raise online latency.
    pub fn harm(self) -> f64 {
        let point = f64::from(self.0) / f64::from(SCALE);
        if point <= 0.5 {
            return MIDDLE_HARM * point * 2.0;
        }
        MIDDLE_HARM + (MOST_HARM - MIDDLE_HARM) * (point - 0.5) * 2.0
    }

    /// The share of online requests that batch may take beyond the tail of first-token times.
    pub fn risk(self) -> f64 {
        0.0005 + 0.004 * f64::from(self.0) / f64::from(SCALE)
    }

    /// The share of time that prefills longer than the bound on a step may take.
    pub fn long_share(self) -> f64 {
        self.risk()
    }

    /// The share of steps with online streams that may hold a batch prefill.
    pub fn prefill_share(self) -> f64 {
        0.0005 + 0.004 * f64::from(self.0) / f64::from(SCALE)
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
