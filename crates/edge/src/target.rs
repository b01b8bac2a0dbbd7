//! Targets as the platform lists them, and the heads of their responses.

use std::{net::SocketAddr, time::Duration};

use clem_types::{Rate, SoftwareVersion};
use http::{HeaderMap, header};
use http_body::Body;
use serde::{Deserialize, Serialize};

/// A target in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetVm {
    /// The platform's id of this instance; changes when the target restarts.
    pub id: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: TargetState,
    /// Version of its software; `None` if the platform doesn't say.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// Start time in Unix milliseconds; 0 if the platform doesn't say.
    pub started: u64,
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It accepts new work.
    Ready,
    /// It finishes its running requests, then stops.
    Draining,
}

/// A page of the platform's target list.
#[derive(Debug, Clone, Default)]
pub struct ListPage {
    /// The entries that could be parsed.
    pub targets: Vec<TargetVm>,
    /// Number of entries that name no target.
    pub unreadable: usize,
    /// Some of them.
    pub skipped: Vec<SkippedEntry>,
    /// The targets that are cold, with how much longer.
    pub cold: Vec<(String, Duration)>,
    /// Token of the next page; `None` on the last.
    pub next: Option<String>,
}

/// An entry of the platform's list that names no target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SkippedEntry {
    /// Its id or, if that can't be read, a hash of its bytes.
    pub entry: String,
    /// The field that is missing or invalid; `entry` if it is all of it.
    pub field: &'static str,
}

/// What the head of a target's response says about the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetHead {
    /// The request that the response names.
    pub named: NamedRequest,
    /// Whether the target reports that it did not run the request.
    pub not_run: bool,
    /// Whether another instance now has the address.
    pub replaced: bool,
    /// Whether the target says that it is leaving.
    pub leaves: bool,
    /// Whether the target will close the connection.
    pub closes: bool,
    /// How many requests the target takes.
    pub limit: NamedLimit,
}

/// Which request a response names as the one that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedRequest {
    /// The one that was sent.
    Sent,
    /// Another one.
    Other,
    /// None.
    Unnamed,
}

impl NamedRequest {
    /// The name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Other => "other",
            Self::Unnamed => "none",
        }
    }
}

/// What a response says of how many requests its target takes from all vms together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// Nothing: the target takes as many as it has slots for.
    Unlimited,
    /// This many; a rate of 0 stands for none.
    Rate(Rate),
    /// Something that can't be read.
    Unreadable,
}

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length in its head.
    Length,
    /// By a last chunk.
    Chunked,
    /// By closing the connection, which a target that crashes does as well: a body that ends without
    /// an error may be incomplete.
    Close,
}

impl Framing {
    /// The framing of a response with these headers, whose body has not been read yet.
    pub fn of(headers: &HeaderMap, body: &impl Body) -> Self {
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            return Self::Length;
        }
        // Only the last encoding marks the end.
        let encodings = headers.get_all(header::TRANSFER_ENCODING);
        let last = encodings.iter().next_back().and_then(|value| {
            let text = value.to_str().ok()?;
            text.rsplit(',').next()
        });
        if last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked")) {
            return Self::Chunked;
        }
        Self::Close
    }

    /// The name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}
