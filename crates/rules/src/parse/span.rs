//! Lengths of time as the file writes them.

use std::{fmt, str::FromStr, time::Duration};

/// The longest span that a rule may name.
const MAX_SPAN: Duration = Duration::from_secs(3600);

/// A length of time, written `500ms`, `30s` or `2m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Span(pub(super) Duration);

/// Why a text is no length of time.
#[derive(Debug)]
pub(super) struct SpanError;

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, SpanError> {
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or(SpanError)?;
        let (amount, unit) = text.split_at(split);
        let amount: u64 = amount.parse().map_err(|_| SpanError)?;
        let millis = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            _ => return Err(SpanError),
        };
        let millis = amount.checked_mul(millis).ok_or(SpanError)?;
        let span = Duration::from_millis(millis);
        if span.is_zero() || span > MAX_SPAN {
            return Err(SpanError);
        }
        Ok(Self(span))
    }
}

impl fmt::Display for SpanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it is no time from 1ms to 60m, as in 500ms, 30s or 2m")
    }
}
