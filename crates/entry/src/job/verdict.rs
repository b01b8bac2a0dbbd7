//! The refusals for requests that no target answered, and which results are retryable.

use clem_policy::poison::Suspicion;
use clem_wire::dispatch::{FailedReason, NotRunReason};
use salvo::http::StatusCode;

use crate::refusal::{Ran, Refusal};

/// Retry delay while no target is available, in milliseconds.
const TARGETS_RETRY_MS: u32 = 1000;
/// Retry delay after a full queue or a passed deadline, unless the agent gives one, in
/// milliseconds.
const QUEUE_RETRY_MS: u32 = 500;

pub(super) fn no_target() -> Refusal {
    Refusal::unavailable("no_target", "no target is available for this request")
        .retry(TARGETS_RETRY_MS)
}

pub(super) fn unreachable() -> Refusal {
    Refusal::unavailable("not_reached", "the target could not be reached").retry(TARGETS_RETRY_MS)
}

pub(super) fn deadline_passed() -> Refusal {
    let message = "the deadline passed before the request could be sent";
    Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", message).retry(QUEUE_RETRY_MS)
}

pub(super) fn withdrawn() -> Refusal {
    Refusal::maybe_ran(
        StatusCode::UNAUTHORIZED,
        "key_withdrawn",
        "the key was withdrawn",
    )
}

/// The key was withdrawn before the request was sent, so it did not run.
pub(super) fn not_allowed() -> Refusal {
    Refusal::not_run(
        StatusCode::UNAUTHORIZED,
        "key_withdrawn",
        "the key was withdrawn",
    )
}

pub(super) fn unknown() -> Refusal {
    let message = "the request may have run; its answer was lost";
    Refusal::maybe_ran(StatusCode::BAD_GATEWAY, "outcome_unknown", message)
}

/// Whether a request that did not run may be tried on another target.
pub(super) fn is_retryable(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::NoLease
        | NotRunReason::OldIncarnation
        | NotRunReason::Draining
        | NotRunReason::TargetDown
        | NotRunReason::Overloaded
        | NotRunReason::NotServed
        | NotRunReason::SuspectBusy => true,
        NotRunReason::NotAllowed | NotRunReason::DeadlinePassed | NotRunReason::Fenced => false,
    }
}

/// The refusal for a request that agents reported as not run.
pub(super) fn not_run(reason: NotRunReason, retry_ms: Option<u32>) -> Refusal {
    let retry = retry_ms.unwrap_or(QUEUE_RETRY_MS);
    match reason {
        NotRunReason::Overloaded => {
            Refusal::unavailable("overloaded", "the queue is full").retry(retry)
        }
        NotRunReason::DeadlinePassed => {
            let message = "the deadline passed while the request was queued";
            Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", message).retry(retry)
        }
        NotRunReason::NotAllowed => {
            let message = "the key or the route was withdrawn";
            Refusal::not_run(StatusCode::FORBIDDEN, "not_allowed", message)
        }
        NotRunReason::NoLease
        | NotRunReason::OldIncarnation
        | NotRunReason::Draining
        | NotRunReason::TargetDown
        | NotRunReason::NotServed
        | NotRunReason::Fenced
        | NotRunReason::SuspectBusy => unreachable(),
    }
}

/// Whether an idempotent request may be retried after this failure.
pub(super) fn is_failure_retryable(reason: FailedReason) -> bool {
    match reason {
        FailedReason::TargetLost | FailedReason::BadAnswer => true,
        FailedReason::DeadlinePassed | FailedReason::KeyWithdrawn => false,
    }
}

/// The refusal for a request that failed after it started.
pub(super) fn failed(reason: FailedReason) -> Refusal {
    match reason {
        FailedReason::TargetLost => {
            let message = "the target was lost while the request ran";
            Refusal::maybe_ran(StatusCode::BAD_GATEWAY, "target_lost", message)
        }
        FailedReason::DeadlinePassed => {
            let message = "the deadline passed while the request ran";
            Refusal::maybe_ran(StatusCode::GATEWAY_TIMEOUT, "deadline", message)
        }
        FailedReason::KeyWithdrawn => withdrawn(),
        FailedReason::BadAnswer => {
            let message = "the target's answer was malformed";
            Refusal::maybe_ran(StatusCode::BAD_GATEWAY, "bad_answer", message)
        }
    }
}

/// The refusal for a request that crashes targets; `None` for all others, also for suspects, which
/// are still dispatched.
pub(crate) fn poison(suspicion: Option<Suspicion>, ran: bool) -> Option<Refusal> {
    match suspicion {
        Some(Suspicion::Poison) => {
            let message = "this request crashes targets and must not be sent again";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let refusal = Refusal::not_run(status, "poisoned", message);
            Some(if ran { maybe_ran(refusal) } else { refusal })
        }
        Some(Suspicion::Suspect) | None => None,
    }
}

/// Marks the refusal of a request that may have run in some attempt.
pub(super) fn maybe_ran(refusal: Refusal) -> Refusal {
    Refusal {
        ran: Ran::Maybe,
        ..refusal
    }
}
