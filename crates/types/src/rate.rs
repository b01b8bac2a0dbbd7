//! Rates, as used by rate limits.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

const EXPECTED: &str = "rate";
/// Millionths of an event in one event.
const MICROS: u64 = 1_000_000;

/// A number of events per second, as an integer of millionths so that arithmetic is exact and the
/// same on every machine.
///
/// Parses `20/s`, `0.5/s`, `30/m` and `100/h`; always formats per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate {
    micros: u64,
}

impl Rate {
    /// Creates a rate of whole events per second.
    pub const fn per_second(events: u32) -> Self {
        Self {
            micros: events as u64 * MICROS,
        }
    }

    /// Creates a rate of events per second, rounded down to a millionth; `None` if it is negative, not
    /// finite or too large.
    pub fn from_per_second(events: f64) -> Option<Self> {
        let micros = events * MICROS as f64;
        let fits = micros.is_finite() && (0.0..u64::MAX as f64).contains(&micros);
        fits.then_some(Self {
            micros: micros as u64,
        })
    }

    /// Returns the rate in millionths of an event per second.
    pub const fn micros_per_second(self) -> u64 {
        self.micros
    }

    /// Returns the millionths of an event that accrue in `span`, rounded down and saturating.
    pub fn micros_in(self, span: Duration) -> u64 {
        let product = u128::from(self.micros) * span.as_micros() / u128::from(MICROS);
        u64::try_from(product).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.micros / MICROS;
        let rest = self.micros % MICROS;
        if rest == 0 {
            return write!(f, "{whole}/s");
        }
        let digits = format!("{rest:06}");
        write!(f, "{whole}.{}/s", digits.trim_end_matches('0'))
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let Some((amount, unit)) = text.split_once('/') else {
            return Err(ParseError::new(EXPECTED, "it has no unit, as in 20/s"));
        };
        let seconds = match unit {
            "s" => 1.0,
            "m" => 60.0,
            "h" => 3600.0,
            _ => return Err(ParseError::new(EXPECTED, "its unit is not s, m or h")),
        };
        let amount: f64 = amount
            .parse()
            .map_err(|_| ParseError::new(EXPECTED, "its amount is not a number"))?;
        let micros = amount / seconds * MICROS as f64;
        if !(1.0..=1e15).contains(&micros) {
            return Err(ParseError::new(EXPECTED, "its amount is out of range"));
        }
        Ok(Self {
            micros: micros.round() as u64,
        })
    }
}
