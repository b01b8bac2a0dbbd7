//! Calls on batches, forwarded to the leader of the batch group.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_direct::Node;
use clem_edge::{Cause, Customer, Refusal, RequestKind, Route, Ruleset};
use clem_intake::{BodyError, BodyPlace};
use clem_wire::{
    CallError, ReplyRoom,
    jobs::{EndJob, JobName, JobOptions, ReadItem, ReadResults, SubmitJob, SubmitReply},
};
use http::Response;
use http_body_util::BodyExt;

use crate::{
    body::{CountedBody, ResponseBody, full_body},
    caller::CallerLink,
    front::Front,
    handle::body_refusal,
};

/// Timeout of a call to the leader.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a call waits for the group to be founded.
const FOUNDING_WAIT: Duration = TIMEOUT;
/// Retry time while the leader can't be reached.
const RETRY: Duration = Duration::from_millis(300);
/// Retry time for a batch that exceeds a limit.
const FULL_RETRY: Duration = Duration::from_millis(1000);
/// How often a submission may be in memory at once: as it was received, parsed, and encoded for the leader.
const SUBMISSION_COPIES: usize = 3;
/// Due and retention time of batches whose route sets none.
const DEFAULT_SPAN: Duration = Duration::from_secs(60);

/// Submits a batch.
pub(crate) async fn submit(
    front: &Arc<Front>,
    rules: &Ruleset,
    route: &Route,
    customer: &Customer,
    id: &str,
    (body, place): (Bytes, Option<BodyPlace>),
) -> Result<Response<ResponseBody>, Refusal> {
    let node = &front.node;
    let copies = body.len().saturating_mul(SUBMISSION_COPIES);
    if let Some(place) = &place
        && !place.take(node.now(), copies).await
    {
        return Err(no_room(front, customer));
    }
    let spec = node.dialect.read_batch(id, &body).map_err(|findings| {
        log::warn!(batch = id, findings:% = findings; "batch malformed");
        Refusal::new(Cause::Malformed)
    })?;
    drop(body);
    let items = spec.items.len();
    let Some(service) = route.pick_service(node.random()) else {
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
            rules: rules.version,
            rank: customer.rank.unwrap_or(route.rank),
            due: bounds.map_or(DEFAULT_SPAN, |bounds| bounds.due),
            keep: bounds.map_or(DEFAULT_SPAN, |bounds| bounds.keep),
            attempts: route.attempts,
            token_cap: bounds.map_or(0, |bounds| bounds.token_cap),
        },
    };
    if !until_founded(node).await {
        return Err(Refusal::after(Cause::NotReady, RETRY));
    }
    let reply = node.jobs.call(&call, TIMEOUT).await;
    let outcome = match &reply {
        Ok(SubmitReply::Accepted) => "accepted",
        Ok(SubmitReply::Full) => "full",
        Ok(SubmitReply::NoRoom) => "no room",
        Err(error) if error.is_not_run() => "not taken",
        Err(_) => "not known",
    };
    if let Err(error) = &reply {
        log_unreachable(id, error);
    }
    log::info!(
        batch = id, customer = customer.name.as_str(), items, outcome,
        rules = rules.version.0;
        "batch submitted"
    );
    match reply {
        Ok(SubmitReply::Accepted) => Ok(node.dialect.batch_accepted().map(full_body)),
        Ok(SubmitReply::Full) => Err(Refusal::after(Cause::OverLimit, FULL_RETRY)),
        Ok(SubmitReply::NoRoom) => Err(Refusal::after(Cause::Busy, FULL_RETRY)),
        Err(error) if error.is_not_run() => Err(Refusal::after(Cause::Busy, RETRY)),
        // The batch may have been accepted.
        Err(_) => Err(Refusal::new(Cause::OutOfTime)),
    }
}

/// Waits until the group that keeps batches is known here, which takes a moment when the fleet starts;
/// returns whether it is. Keepers don't serve calls before.
async fn until_founded(node: &Node) -> bool {
    let mut changes = node.changes();
    let founded = async {
        while !node.view().has_batch_group() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(FOUNDING_WAIT, founded).await.is_ok()
}

/// Logs a call that failed, with what the processes of the group said if none replied as its leader.
fn log_unreachable(batch: &str, error: &CallError) {
    match error.asked() {
        Some(asked) => {
            log::warn!(asked:% = asked, batch, error:% = error; "batch group unreachable");
        }
        None => {
            log::warn!(batch, error:% = error; "batch group unreachable");
        }
    }
}

/// Answers a call on a submitted batch.
pub(crate) async fn answer(
    front: &Arc<Front>,
    customer: &Customer,
    kind: RequestKind,
    link: &CallerLink,
) -> Result<Response<ResponseBody>, Refusal> {
    let node = &front.node;
    let place = front
        .bodies
        .begin_response(node.now(), &customer.name, link.closer());
    let room = PageRoom {
        front,
        place: &place,
    };
    let name = |id: String| JobName {
        customer: customer.name.clone(),
        id,
    };
    let unavailable = |batch: &str, error: &CallError| {
        if matches!(error, CallError::NoRoom) {
            return no_room(front, customer);
        }
        log_unreachable(batch, error);
        Refusal::after(Cause::NotReady, RETRY)
    };
    let missing = Refusal::new(Cause::NotFound);
    if !until_founded(node).await {
        return Err(Refusal::after(Cause::NotReady, RETRY));
    }
    match kind {
        RequestKind::Forward => Err(missing),
        RequestKind::Results { batch, after, wait } => {
            let call = ReadResults {
                job: name(batch.clone()),
                after,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            };
            match node.jobs.call_with_room(&call, TIMEOUT, &room).await {
                Ok(Some(page)) => {
                    let page = node.dialect.results(&page);
                    counted(front, place, page).ok_or_else(|| no_room(front, customer))
                }
                Ok(None) => Err(missing),
                Err(error) => Err(unavailable(&batch, &error)),
            }
        }
        RequestKind::ItemBody { batch, item } => {
            let call = ReadItem {
                job: name(batch.clone()),
                item,
            };
            match node.jobs.call_with_room(&call, TIMEOUT, &room).await {
                Ok(Some(body)) => counted(front, place, Response::new(body))
                    .ok_or_else(|| no_room(front, customer)),
                Ok(None) => Err(missing),
                Err(error) => Err(unavailable(&batch, &error)),
            }
        }
        RequestKind::EndBatch { batch } => {
            let call = EndJob {
                job: name(batch.clone()),
            };
            let ended = node.jobs.call(&call, TIMEOUT).await;
            log::info!(
                batch = batch.as_str(), customer = customer.name.as_str(),
                found = matches!(ended, Ok(true)); "batch deletion requested"
            );
            match ended {
                Ok(true) => Ok(node.dialect.batch_ended().map(full_body)),
                Ok(false) => Err(missing),
                Err(error) => Err(unavailable(&batch, &error)),
            }
        }
    }
}

/// The room of a page of results or of the body of an item.
struct PageRoom<'a> {
    front: &'a Front,
    place: &'a BodyPlace,
}

impl ReplyRoom for PageRoom<'_> {
    async fn take(&self, bytes: usize) -> bool {
        self.place.take(self.front.node.now(), bytes).await
    }
}

/// A response that counts as held until its caller has read it; `None` if there is no room for it.
fn counted(
    front: &Front,
    place: BodyPlace,
    response: Response<Bytes>,
) -> Option<Response<ResponseBody>> {
    let clock = front.node.clock;
    if !place.grow(clock.now(), response.body().len()) {
        return None;
    }
    Some(response.map(|bytes| CountedBody::new(&bytes, place, clock).boxed()))
}

fn no_room(front: &Front, customer: &Customer) -> Refusal {
    let error = BodyError::NoRoom;
    front.bodies.count(front.node.now(), error, &customer.name);
    body_refusal(error)
}
