//! A piece of work in the agent, and what it is told to do.

use clem_types::{Attempt, BodyHash, CustomerId, KeyId, RequestId, RouteId, Time};
use clem_wire::{
    batch::LeaseRef,
    dispatch::{FailedReason, NotRunReason},
};

/// Where a job came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An entry's dispatch.
    Online {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// An item leased from the control leader.
    Batch {
        /// The lease.
        lease: LeaseRef,
        /// When the lease ends.
        until: Time,
        /// Whether the item may be run again after a failure.
        idempotent: bool,
    },
}

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// In a queue; the target has not heard of it.
    Queued,
    /// At the target, or on its way there.
    Started,
    /// A batch job that made way for online requests.
    Parked,
    /// Finished; a batch result that the control leader has not taken yet.
    Finished,
}

/// A piece of work in the agent.
#[derive(Debug, Clone)]
pub struct Job {
    /// Where it came from.
    pub source: Source,
    /// The customer that it runs for; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// The key that it came with.
    pub key: Option<KeyId>,
    /// The route that was asked for.
    pub route: RouteId,
    /// What its body hashes to.
    pub body: BodyHash,
    /// Whether it was in flight at a crash.
    pub suspect: bool,
    /// When it is no longer wanted.
    pub deadline: Time,
    /// Whether its tokens come one by one.
    pub streams: bool,
    /// When it last left for the target.
    pub started: Time,
    /// How far it is.
    pub state: JobState,
    /// Whether its connection to the target broke.
    pub broken: bool,
}

impl Job {
    /// Whether it came from an entry.
    pub fn is_online(&self) -> bool {
        match self.source {
            Source::Online { .. } => true,
            Source::Batch { .. } => false,
        }
    }
}

/// What a job is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Go to the target.
    Start,
    /// Leave the target for a while.
    Park,
    /// Go to the target again, after the tokens that are there.
    Resume,
    /// End.
    Stop(Stop),
}

/// Why a job must end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// It has not started and never will.
    NotRun(NotRunReason),
    /// It has started and is given up.
    Failed(FailedReason),
    /// The target is gone, or the job's connection to it.
    Lost {
        /// Whether the target died.
        crashed: bool,
    },
    /// A batch item that the control leader wants no more.
    Cancelled,
    /// A batch item that is given back, to run elsewhere.
    Returned,
}
