//! What a caller is told when no target brought an answer.

use clem_policy::poison::Suspicion;
use clem_wire::dispatch::{FailedReason, NotRunReason};
use salvo::http::StatusCode;

use crate::refusal::{Ran, Refusal};

/// When to come back while no target is open, in milliseconds.
const TARGETS_RETRY_MS: u32 = 1000;
/// When to come back after a queue was full, unless the agent says better, in milliseconds.
const QUEUE_RETRY_MS: u32 = 500;

pub(super) fn no_target() -> Refusal {
    Refusal::unavailable("no_target", "no target takes this request now").retry(TARGETS_RETRY_MS)
}

pub(super) fn unreached() -> Refusal {
    Refusal::unavailable("not_reached", "the target was not reached").retry(TARGETS_RETRY_MS)
}

pub(super) fn late() -> Refusal {
    let message = "the request's time was over before it could be sent";
    Refusal::no(StatusCode::GATEWAY_TIMEOUT, "deadline", message).retry(QUEUE_RETRY_MS)
}

pub(super) fn withdrawn() -> Refusal {
    Refusal::maybe(
        StatusCode::UNAUTHORIZED,
        "key_withdrawn",
        "the key was withdrawn",
    )
}

/// The key was withdrawn before the request was sent.
pub(super) fn not_allowed() -> Refusal {
    Refusal::no(
        StatusCode::UNAUTHORIZED,
        "key_withdrawn",
        "the key was withdrawn",
    )
}

pub(super) fn unknown() -> Refusal {
    let message = "the request may have run; its answer was lost";
    Refusal::maybe(StatusCode::BAD_GATEWAY, "outcome_unknown", message)
}

/// Whether another target may do better.
pub(super) fn elsewhere(reason: NotRunReason) -> bool {
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

/// The refusal for a request that no agent ran.
pub(super) fn not_run(reason: NotRunReason, retry_ms: Option<u32>) -> Refusal {
    let retry = retry_ms.unwrap_or(QUEUE_RETRY_MS);
    match reason {
        NotRunReason::Overloaded => {
            Refusal::unavailable("overloaded", "the queue is full").retry(retry)
        }
        NotRunReason::DeadlinePassed => {
            let message = "the request's time was over in the queue";
            Refusal::no(StatusCode::GATEWAY_TIMEOUT, "deadline", message).retry(retry)
        }
        NotRunReason::NotAllowed => {
            let message = "the key or the route was withdrawn";
            Refusal::no(StatusCode::FORBIDDEN, "not_allowed", message)
        }
        NotRunReason::NoLease
        | NotRunReason::OldIncarnation
        | NotRunReason::Draining
        | NotRunReason::TargetDown
        | NotRunReason::NotServed
        | NotRunReason::Fenced
        | NotRunReason::SuspectBusy => unreached(),
    }
}

/// Whether a failed request may be tried again, if it is idempotent.
pub(super) fn again(reason: FailedReason) -> bool {
    match reason {
        FailedReason::TargetLost | FailedReason::BadAnswer => true,
        FailedReason::DeadlinePassed | FailedReason::KeyWithdrawn => false,
    }
}

/// The refusal for a request that failed after it had started.
pub(super) fn failed(reason: FailedReason) -> Refusal {
    match reason {
        FailedReason::TargetLost => {
            let message = "the target was lost while the request ran";
            Refusal::maybe(StatusCode::BAD_GATEWAY, "target_lost", message)
        }
        FailedReason::DeadlinePassed => {
            let message = "the request's time was over while it ran";
            Refusal::maybe(StatusCode::GATEWAY_TIMEOUT, "deadline", message)
        }
        FailedReason::KeyWithdrawn => withdrawn(),
        FailedReason::BadAnswer => {
            let message = "the target's answer was not well formed";
            Refusal::maybe(StatusCode::BAD_GATEWAY, "bad_answer", message)
        }
    }
}

/// The refusal of a request that crashes targets; none for a suspect or a bystander.
pub(crate) fn poison(suspicion: Option<Suspicion>, ran: bool) -> Option<Refusal> {
    match suspicion {
        Some(Suspicion::Poison) => {
            let message = "this request crashes targets; sending it again does not help";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let refusal = Refusal::no(status, "poisoned", message);
            Some(if ran { after_run(refusal) } else { refusal })
        }
        Some(Suspicion::Suspect) | None => None,
    }
}

/// The same refusal for a request of which some attempt may have run.
pub(super) fn after_run(refusal: Refusal) -> Refusal {
    Refusal {
        ran: Ran::Maybe,
        ..refusal
    }
}
