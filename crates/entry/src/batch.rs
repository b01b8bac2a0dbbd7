//! Batches: streaming uploads, status, cancellation and results.
//!
//! An entry buffers at most a few hundred kilobytes of an upload, whatever its length: lines are
//! collected into chunks, and each chunk is made durable before the next one is read. See
//! `docs/design/online.md`, "Batches".

mod lines;
mod results;
mod status;
mod upload;
mod view;

use std::{sync::Arc, time::Duration};

use clem_types::{BatchId, CustomerId};
use clem_wire::CallError;
use salvo::{Depot, Request, Router, http::StatusCode};

use crate::{
    caller::{Caller, Identity},
    entry::Entry,
    filter::Limit,
    refusal::Refusal,
};

/// Timeout of a call to the control leader.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay while no leader answers, in milliseconds.
const RETRY_MS: u32 = 1000;

/// The routes under `/v1/batches`, behind the filters that authenticate and admit.
pub(crate) fn routes(entry: &Arc<Entry>) -> Router {
    let limit = Limit {
        entry: entry.clone(),
    };
    let upload = upload::Upload {
        entry: entry.clone(),
    };
    let status = status::Status {
        entry: entry.clone(),
    };
    let cancel = status::Cancel {
        entry: entry.clone(),
    };
    let results = results::Results {
        entry: entry.clone(),
    };
    let one = Router::with_path("{id}")
        .get(status)
        .push(Router::with_path("cancel").post(cancel))
        .push(Router::with_path("results").get(results));
    Router::with_path("v1/batches")
        .push(Router::new().hoop(limit).post(upload))
        .push(one)
}

/// The identity of the caller, which must have sent a key: batches have no open routes.
fn identity(depot: &Depot) -> Result<Identity, Refusal> {
    let identity = depot
        .get_typed::<Caller>()
        .ok()
        .and_then(|caller| caller.identity.clone());
    identity.ok_or_else(|| {
        let message = "batches require a key";
        Refusal::not_run(StatusCode::UNAUTHORIZED, "key_missing", message)
    })
}

/// The batch id in the path and the customer of the request.
fn batch_and_customer(req: &Request, depot: &Depot) -> Result<(BatchId, CustomerId), Refusal> {
    let customer = identity(depot)?.customer;
    let id: Option<String> = req.param("id");
    let batch = id
        .and_then(|id| id.parse().ok())
        .ok_or_else(unknown_batch)?;
    Ok((batch, customer))
}

/// Answers the same for a batch that does not exist and for one of another customer, so that ids
/// can't be probed.
fn unknown_batch() -> Refusal {
    Refusal::not_run(
        StatusCode::NOT_FOUND,
        "batch_unknown",
        "the batch does not exist",
    )
}

/// Logs a failed call and returns the refusal for it.
fn no_leader(error: &CallError) -> Refusal {
    log::warn!(error = error.to_string().as_str(); "batch call to control failed");
    let message = "the control processes do not answer";
    Refusal::unavailable("no_leader", message).retry(RETRY_MS)
}
