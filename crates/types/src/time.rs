//! Time as a value: every function that decides takes the present as an argument.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

/// A moment of one process's monotonic clock, in microseconds since that process chose.
///
/// Never sent to another process: clocks of two processes have nothing in common.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time {
    micros: u64,
}

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// A moment by its microseconds since the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// A moment by its milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis * 1000,
        }
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// The span since `earlier`; zero when `earlier` is later.
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

/// A moment of the calendar, in milliseconds since 1970 in UTC; for due times and retention only.
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
