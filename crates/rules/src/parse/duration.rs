//! Durations in the notation of the rules file.

use std::{fmt, str::FromStr, time::Duration};

/// The longest duration that a rule may set.
const MAX_DURATION: Duration = Duration::from_secs(3600);

/// A duration, written as `500ms`, `30s` or `2m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DurationValue(pub(super) Duration);

/// The string is not a duration, or is out of range.
#[derive(Debug)]
pub(super) struct DurationError;

impl FromStr for DurationValue {
    type Err = DurationError;

    fn from_str(text: &str) -> Result<Self, DurationError> {
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or(DurationError)?;
        let (amount, unit) = text.split_at(split);
        let amount: u64 = amount.parse().map_err(|_| DurationError)?;
        let millis = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            _ => return Err(DurationError),
        };
        let millis = amount.checked_mul(millis).ok_or(DurationError)?;
        let span = Duration::from_millis(millis);
        if span.is_zero() || span > MAX_DURATION {
            return Err(DurationError);
        }
        Ok(Self(span))
    }
}

impl fmt::Display for DurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it is not a duration from 1ms to 60m, such as 500ms, 30s or 2m")
    }
}
