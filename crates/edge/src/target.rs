//! Targets, as the platform lists them, and the heads of their answers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A target that the platform lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetVm {
    /// The platform's id of this start of the target.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: TargetState,
    /// When it started, in Unix milliseconds; 0 if the platform does not say.
    pub started: u64,
}

/// Whether a target may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It may.
    Ready,
    /// It finishes what it has, and leaves.
    Draining,
}

/// A page of the platform's list.
#[derive(Debug, Clone, Default)]
pub struct ListPage {
    /// The targets that could be read.
    pub targets: Vec<TargetVm>,
    /// How many entries could not be read.
    pub unreadable: usize,
    /// The page that follows.
    pub next: Option<String>,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetHead {
    /// Whether it belongs to the request that was sent.
    pub matches: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether another target has taken over the address.
    pub replaced: bool,
    /// Whether the target will close the connection.
    pub closes: bool,
}
