//! Batches: uploads read as a stream, status, cancel and results.
//!
//! An entry holds a few hundred kilobytes of an upload at a time, whatever its length: lines are
//! gathered into chunks, and each chunk is durable before the next one is read. See
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

/// How long the leader is waited for.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// When to come back while no leader answers, in milliseconds.
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

/// The customer of a request; batches have no open routes.
fn identity(depot: &Depot) -> Result<Identity, Refusal> {
    let identity = depot
        .get_typed::<Caller>()
        .ok()
        .and_then(|caller| caller.identity.clone());
    identity.ok_or_else(|| {
        let message = "batches ask for a key";
        Refusal::no(StatusCode::UNAUTHORIZED, "key_missing", message)
    })
}

/// The batch that a path names and who asks for it.
fn asked(req: &Request, depot: &Depot) -> Result<(BatchId, CustomerId), Refusal> {
    let customer = identity(depot)?.customer;
    let id: Option<String> = req.param("id");
    let batch = id.and_then(|id| id.parse().ok()).ok_or_else(unknown)?;
    Ok((batch, customer))
}

/// The same answer for a batch that does not exist and for another customer's.
fn unknown() -> Refusal {
    Refusal::no(
        StatusCode::NOT_FOUND,
        "batch_unknown",
        "there is no such batch",
    )
}

/// The refusal when no leader answered.
fn no_leader(error: &CallError) -> Refusal {
    log::warn!(error = error.to_string().as_str(); "no answer on a batch from control");
    let message = "the control processes do not answer now";
    Refusal::unavailable("no_leader", message).retry(RETRY_MS)
}
