//! Error responses that the system itself produces.

use std::{fmt, time::Duration};

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The request can't be parsed.
    Malformed,
    /// The API key is missing or unknown.
    KeyUnknown,
    /// There is no such route, batch or item.
    NotFound,
    /// The body exceeds the size limit.
    TooLong,
    /// The body did not arrive in time; the request has not run and will not run.
    BodySlow,
    /// There is no room for the body; the request has not run and will not run.
    BodyRoom,
    /// The customer exceeds its rate or its cap of batch tokens.
    OverLimit,
    /// There is no free slot or no target; the request has not run and will not run.
    Busy,
    /// The request has parts that crash targets; it has not run and will not run.
    Harmful,
    /// The stream can't go on where it began; the request has not run and will not run.
    Unresumable,
    /// This process lacks rules or can't reach the leader; no target has run the request.
    NotReady,
    /// This process stops before it could surely answer; the request has not run and will not run.
    Stopping,
    /// The response was lost or corrupted; the request may have run.
    Broken,
    /// The deadline passed; the request may have run.
    OutOfTime,
}

/// A refusal and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub cause: Cause,
    /// When to retry; `None` if a retry is not suggested.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(cause: Cause) -> Self {
        Self { cause, retry: None }
    }

    /// Creates a refusal with a retry time.
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
            Self::BodySlow => "body_slow",
            Self::BodyRoom => "body_room",
            Self::OverLimit => "over_limit",
            Self::Busy => "busy",
            Self::Harmful => "harmful",
            Self::Unresumable => "unresumable",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::Broken => "broken",
            Self::OutOfTime => "out_of_time",
        })
    }
}
