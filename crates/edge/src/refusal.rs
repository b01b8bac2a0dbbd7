//! Refusals: answers of the system itself.

use std::{fmt, time::Duration};

/// Why the system itself answers a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The request can't be read.
    Malformed,
    /// The key is missing or unknown.
    KeyUnknown,
    /// No route, batch or item is there.
    NotFound,
    /// The body is too long.
    TooLong,
    /// The customer is over its rate, or its batch does not fit.
    OverLimit,
    /// There is no room, or no target; the request has not run and will not.
    Busy,
    /// This process does not know enough to serve, for now; nothing has run.
    NotReady,
    /// The answer was lost or spoiled; the request may have run.
    Broken,
    /// The time is over; the request may have run.
    OutOfTime,
}

/// A refusal and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When coming back may help.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(cause: Cause) -> Self {
        Self { cause, retry: None }
    }

    /// A refusal that tells when to come back.
    pub fn after(cause: Cause, retry: Duration) -> Self {
        Self {
            cause,
            retry: Some(retry),
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed",
            Self::KeyUnknown => "key_unknown",
            Self::NotFound => "not_found",
            Self::TooLong => "too_long",
            Self::OverLimit => "over_limit",
            Self::Busy => "busy",
            Self::NotReady => "not_ready",
            Self::Broken => "broken",
            Self::OutOfTime => "out_of_time",
        })
    }
}
