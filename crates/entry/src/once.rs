//! Calls that run at most once: a record is written before the dispatch, and the outcome after it.

use std::{sync::Arc, time::Duration};

use clem_types::CustomerId;
use clem_wire::online::{OnceBegin, OnceBeginReply, OnceFinish, OnceOutcome, OnceResult};
use salvo::http::StatusCode;
use tokio::task::JoinHandle;

use crate::{entry::Entry, refusal::Refusal, relay::Answer, work::Work};

/// Timeout for writing the record; after it the call is refused as not run.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for recording an outcome; after it the outcome stays unknown.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a stored result, in bytes. Of a call with a longer one only the fact that it
/// ran is recorded.
const MAX_RESULT_BYTES: usize = 1024 * 1024;
/// Retry delay while no leader answers, in milliseconds.
const RETRY_MS: u32 = 1000;

/// Whether a call may be dispatched.
pub(crate) enum BeginReply {
    /// The call may be dispatched, by this request only.
    Go,
    /// The call ran earlier and gave this answer.
    Replay(Answer),
    /// The call may not be dispatched.
    Refused(Refusal),
}

/// Records the call before its dispatch; does nothing without an idempotency key.
pub(crate) async fn begin(entry: &Arc<Entry>, work: &Work) -> BeginReply {
    let Some(key) = work.once.clone() else {
        return BeginReply::Go;
    };
    let call = OnceBegin {
        customer: customer(work),
        route: work.route.clone(),
        key,
        body: work.body_hash,
        request: work.request,
    };
    match entry.control.call(&call, BEGIN_TIMEOUT).await {
        Ok(OnceBeginReply::Go) => BeginReply::Go,
        Ok(OnceBeginReply::Done(result)) => BeginReply::Replay(Answer {
            status: result.status,
            headers: result.headers,
            body: result.body.into(),
            replayed: true,
        }),
        Ok(OnceBeginReply::Unknown) => {
            let message = "the call was sent before and its outcome is unknown";
            BeginReply::Refused(Refusal::maybe_ran(
                StatusCode::CONFLICT,
                "outcome_unknown",
                message,
            ))
        }
        Ok(OnceBeginReply::Mismatch) => {
            let message = "the idempotency key was used for a different call";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            BeginReply::Refused(Refusal::not_run(status, "idempotency_mismatch", message))
        }
        Ok(OnceBeginReply::Full) => {
            let message = "the table of call records is full";
            BeginReply::Refused(Refusal::unavailable("records_full", message).retry(RETRY_MS))
        }
        Err(error) => {
            // The record may have been written, but this request was certainly not dispatched.
            if !error.is_not_run() {
                finish(entry.clone(), work, OnceOutcome::NotRun);
            }
            let message = "the call could not be recorded";
            BeginReply::Refused(Refusal::unavailable("no_leader", message).retry(RETRY_MS))
        }
    }
}

/// Records the outcome in the background; `None` if the call has no record.
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
                "failed to record the outcome of an at-most-once call"
            );
        }
    }))
}

/// The outcome to record for a complete answer.
pub(crate) fn outcome(answer: &Answer) -> OnceOutcome {
    if answer.body.len() > MAX_RESULT_BYTES {
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
