//! Calls that run at most once: a record before the dispatch, the outcome after it.

use std::{sync::Arc, time::Duration};

use clem_types::CustomerId;
use clem_wire::online::{OnceBegin, OnceBeginReply, OnceFinish, OnceOutcome, OnceResult};
use salvo::http::StatusCode;
use tokio::task::JoinHandle;

use crate::{entry::Entry, refusal::Refusal, relay::Answer, work::Work};

/// How long the leader is waited for before the call is refused as not run.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an outcome is offered to the leader; after that the record stays unknown.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// The longest result that is kept, in bytes; a longer one is known to have run and no more.
const RESULT_MAX: usize = 1024 * 1024;
/// When to come back while no leader answers, in milliseconds.
const RETRY_MS: u32 = 1000;

/// Whether a call may be dispatched.
pub(crate) enum Begun {
    /// It may, by this request alone.
    Go,
    /// It ran before, with this answer.
    Replay(Answer),
    /// It may not.
    Refused(Refusal),
}

/// Puts the call on record.
pub(crate) async fn begin(entry: &Arc<Entry>, work: &Work) -> Begun {
    let Some(key) = work.once.clone() else {
        return Begun::Go;
    };
    let call = OnceBegin {
        customer: customer(work),
        route: work.route.clone(),
        key,
        body: work.body_hash,
        request: work.request,
    };
    match entry.control.call(&call, BEGIN_TIMEOUT).await {
        Ok(OnceBeginReply::Go) => Begun::Go,
        Ok(OnceBeginReply::Done(result)) => Begun::Replay(Answer {
            status: result.status,
            headers: result.headers,
            body: result.body.into(),
            replayed: true,
        }),
        Ok(OnceBeginReply::Unknown) => {
            let message = "the call was sent before, and its outcome is not known";
            Begun::Refused(Refusal::maybe(
                StatusCode::CONFLICT,
                "outcome_unknown",
                message,
            ))
        }
        Ok(OnceBeginReply::Mismatch) => {
            let message = "the idempotency key stands for another call";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Begun::Refused(Refusal::no(status, "idempotency_mismatch", message))
        }
        Ok(OnceBeginReply::Full) => {
            let message = "no more calls can be kept on record now";
            Begun::Refused(Refusal::unavailable("records_full", message).retry(RETRY_MS))
        }
        Err(error) => {
            // The record may stand: what is certain is that this request was not dispatched.
            if !error.is_not_run() {
                finish(entry.clone(), work, OnceOutcome::NotRun);
            }
            let message = "the call can't be put on record now";
            Begun::Refused(Refusal::unavailable("no_leader", message).retry(RETRY_MS))
        }
    }
}

/// Puts the outcome on record, in the background; none when there is no record to keep.
pub(crate) fn finish(
    entry: Arc<Entry>,
    work: &Work,
    outcome: OnceOutcome,
) -> Option<JoinHandle<()>> {
    let key = work.once.clone()?;
    let call = OnceFinish {
        customer: customer(work),
        route: work.route.clone(),
        key,
        request: work.request,
        outcome,
    };
    Some(tokio::spawn(async move {
        if let Err(error) = entry.control.call(&call, FINISH_TIMEOUT).await {
            let request = call.request.to_string();
            log::error!(
                request = request.as_str(),
                error = error.to_string().as_str();
                "the outcome of a call that runs once was not recorded"
            );
        }
    }))
}

/// The outcome that a whole answer stands for.
pub(crate) fn outcome(answer: &Answer) -> OnceOutcome {
    if answer.body.len() > RESULT_MAX {
        return OnceOutcome::Unknown;
    }
    OnceOutcome::Done(OnceResult {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.to_vec(),
    })
}

fn customer(work: &Work) -> Option<CustomerId> {
    work.identity
        .as_ref()
        .map(|identity| identity.customer.clone())
}
