//! Calls on batches, which the leader of the group that keeps them answers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::{Cause, Customer, Inbound, Refusal, Route, Ruleset};
use clem_wire::jobs::{EndJob, JobName, JobOptions, ReadItem, ReadResults, SubmitJob, SubmitReply};
use http::Response;

use crate::{
    answer::{AnswerBody, whole},
    front::Front,
};

/// How long the leader is waited for.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// When to come back while the leader can't be reached.
const RETRY: Duration = Duration::from_millis(300);
/// When to come back with a batch that does not fit.
const FULL_RETRY: Duration = Duration::from_millis(1000);
/// How long items of a route without bounds of its own are kept trying.
const KEEP: Duration = Duration::from_secs(60);

/// Takes a batch in.
pub(crate) async fn submit(
    front: &Arc<Front>,
    rules: &Ruleset,
    route: &Route,
    customer: &Customer,
    id: &str,
    body: &Bytes,
) -> Result<Response<AnswerBody>, Refusal> {
    let node = &front.node;
    let spec = node.dialect.read_batch(id, body).map_err(|findings| {
        log::warn!(batch = id, findings:% = findings; "batch malformed");
        Refusal::new(Cause::Malformed)
    })?;
    let items = spec.items.len();
    let Some(service) = route.pick(node.draw()) else {
        return Err(Refusal::new(Cause::Busy));
    };
    let bounds = route.batch;
    let call = SubmitJob {
        customer: customer.name.clone(),
        spec,
        options: JobOptions {
            route: route.name.clone(),
            host: route.host.clone(),
            service: service.to_owned(),
            rank: customer.rank.unwrap_or(route.rank),
            due: bounds.map_or(KEEP, |bounds| bounds.due),
            keep: bounds.map_or(KEEP, |bounds| bounds.keep),
            attempts: route.attempts,
            token_cap: bounds.map_or(0, |bounds| bounds.token_cap),
        },
    };
    let reply = node.jobs.call(&call, TIMEOUT).await;
    let outcome = match &reply {
        Ok(SubmitReply::Accepted) => "accepted",
        Ok(SubmitReply::Full) => "full",
        Ok(SubmitReply::NoRoom) => "no room",
        Err(error) if error.is_not_run() => "not taken",
        Err(_) => "not known",
    };
    if let Err(error) = &reply {
        log::warn!(batch = id, error:% = error; "batch not reached");
    }
    log::info!(
        batch = id, customer = customer.name.as_str(), items, outcome,
        rules = rules.version.0;
        "batch submitted"
    );
    match reply {
        Ok(SubmitReply::Accepted) => Ok(node.dialect.batch_accepted().map(whole)),
        Ok(SubmitReply::Full) => Err(Refusal::after(Cause::OverLimit, FULL_RETRY)),
        Ok(SubmitReply::NoRoom) => Err(Refusal::after(Cause::Busy, FULL_RETRY)),
        Err(error) if error.is_not_run() => Err(Refusal::after(Cause::Busy, RETRY)),
        // It may have been taken in.
        Err(_) => Err(Refusal::new(Cause::OutOfTime)),
    }
}

/// Answers a call on a batch that was submitted.
pub(crate) async fn answer(
    front: &Arc<Front>,
    customer: &Customer,
    inbound: Inbound,
) -> Result<Response<AnswerBody>, Refusal> {
    let node = &front.node;
    let name = |id: String| JobName {
        customer: customer.name.clone(),
        id,
    };
    let unsure = |batch: &str, error: &dyn std::fmt::Display| {
        log::warn!(batch, error:% = error; "batch not reached");
        Refusal::after(Cause::NotReady, RETRY)
    };
    let missing = Refusal::new(Cause::NotFound);
    match inbound {
        Inbound::Forward => Err(missing),
        Inbound::Results { batch, after, wait } => {
            let call = ReadResults {
                job: name(batch.clone()),
                after,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            };
            match node.jobs.call(&call, TIMEOUT).await {
                Ok(Some(page)) => Ok(node.dialect.results(&page).map(whole)),
                Ok(None) => Err(missing),
                Err(error) => Err(unsure(&batch, &error)),
            }
        }
        Inbound::ItemBody { batch, item } => {
            let call = ReadItem {
                job: name(batch.clone()),
                item,
            };
            match node.jobs.call(&call, TIMEOUT).await {
                Ok(Some(body)) => Ok(Response::new(whole(body))),
                Ok(None) => Err(missing),
                Err(error) => Err(unsure(&batch, &error)),
            }
        }
        Inbound::EndBatch { batch } => {
            let call = EndJob {
                job: name(batch.clone()),
            };
            let ended = node.jobs.call(&call, TIMEOUT).await;
            log::info!(
                batch = batch.as_str(), customer = customer.name.as_str(),
                found = matches!(ended, Ok(true)); "batch end asked"
            );
            match ended {
                Ok(true) => Ok(node.dialect.batch_ended().map(whole)),
                Ok(false) => Err(missing),
                Err(error) => Err(unsure(&batch, &error)),
            }
        }
    }
}
