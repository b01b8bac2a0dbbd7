//! Jobs and the commands they receive.

use clem_types::{Attempt, BodyHash, CustomerId, KeyId, RequestId, RouteId, Time};
use clem_wire::{
    batch::LeaseRef,
    dispatch::{FailedReason, NotRunReason},
};

/// The origin of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A request dispatched by an entry.
    Online {
        /// The request, the same for all its attempts.
        request: RequestId,
        /// Which attempt of the request this is.
        attempt: Attempt,
    },
    /// An item leased from the control leader.
    Batch {
        /// The item and its attempt.
        lease: LeaseRef,
        /// When the lease expires, unless it is renewed.
        until: Time,
        /// Whether the item may run again after it has reached the target.
        idempotent: bool,
    },
}

/// Lifecycle state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// In the admission queue; nothing has been sent to the target.
    Queued,
    /// Sent, or about to be sent, to the target.
    Started,
    /// A batch job that was preempted by online requests and will resume.
    Parked,
    /// A batch job whose result has not been reported yet.
    Finished,
}

/// An online request or a batch item that the agent has admitted.
#[derive(Debug, Clone)]
pub struct Job {
    /// The dispatch or the lease that brought it.
    pub source: Source,
    /// The customer; `None` for a request without a key on an open route.
    pub customer: Option<CustomerId>,
    /// The ID of the API key; `None` on an open route without a key.
    pub key: Option<KeyId>,
    /// The requested route.
    pub route: RouteId,
    /// Hash of the request body, to match it against the poison list.
    pub body_hash: BodyHash,
    /// Whether it was in flight when a target crashed, so that it may be the cause.
    pub suspect: bool,
    /// When the job is stopped if it has not finished; the maximum for batch items.
    pub deadline: Time,
    /// Whether the answer is streamed, so that missing tokens mean a stalled target.
    pub streaming: bool,
    /// When it was last sent to the target; [`Time::ZERO`] before that.
    pub started: Time,
    /// Its lifecycle state.
    pub state: JobState,
    /// Whether its connection to the target broke and the cause is not known yet.
    pub broken: bool,
}

impl Job {
    /// Whether this is an online request rather than a batch item.
    pub fn is_online(&self) -> bool {
        match self.source {
            Source::Online { .. } => true,
            Source::Batch { .. } => false,
        }
    }
}

/// A command to the task that runs a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Send the request to the target.
    Start,
    /// Leave the target until [`Command::Resume`] (batch items only).
    Park,
    /// Send the request again, to continue after the tokens received so far.
    Resume,
    /// End the job, for this reason.
    Stop(Stop),
}

/// Why a job is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// It was not started.
    NotRun(NotRunReason),
    /// It was started and is aborted.
    Failed(FailedReason),
    /// The target crashed or the job's connection to it broke.
    Lost {
        /// Whether the target crashed.
        crashed: bool,
    },
    /// A batch item that the control leader cancelled or whose lease expired.
    Cancelled,
    /// A batch item that is returned to the control leader, to run on another target.
    Returned,
}
