//! Monotonic and wall-clock time as plain values, which time-dependent code takes as arguments.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

/// A point of one process's monotonic clock, in microseconds since an origin that the process
/// chose.
///
/// It has no meaning in other processes, so it isn't serializable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time {
    micros: u64,
}

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// Creates a time from microseconds since the origin of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Creates a time from milliseconds since the origin of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis * 1000,
        }
    }

    /// Returns the microseconds since the origin of the clock.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let span = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(span),
        }
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let span = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_sub(span),
        }
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:06}s",
            self.micros / 1_000_000,
            self.micros % 1_000_000
        )
    }
}

/// A wall-clock time in milliseconds since the Unix epoch; used only for due times and retention.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for UnixMillis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new("time in milliseconds since 1970", "it is not a number"))
    }
}
