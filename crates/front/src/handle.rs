//! A caller's request from its head to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_direct::Shipment;
use clem_edge::{Cause, Customer, Inbound, Refusal, RouteKind, Ruleset};
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::{
    answer::{AnswerBody, whole},
    attempt::{self, millis},
    batch,
    front::Front,
    request::CallerRequest,
};

/// How long a caller that names no time waits.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a process takes after its start to know rules and targets, when the hub starts too.
const START_SPAN: Duration = Duration::from_millis(800);
/// The shortest time to come back to a process that knows no rules yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);
/// When to come back to a process that is full.
const FULL_RETRY: Duration = Duration::from_millis(300);

/// Answers a caller.
pub(crate) async fn handle(front: &Arc<Front>, request: Request<Incoming>) -> Response<AnswerBody> {
    let mut response = match answer(front, request).await {
        Ok(response) => response,
        Err(refusal) => front.node.dialect.refusal(&refusal).map(whole),
    };
    if front.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer(
    front: &Arc<Front>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let arrived = front.node.now();
    let (head, body) = request.into_parts();
    let node = &front.node;
    let malformed = |findings: clem_edge::Findings| {
        log::warn!(findings:% = findings; "request malformed");
        Refusal::new(Cause::Malformed)
    };
    let inbound = node.dialect.read_inbound(&head).map_err(malformed)?;
    let ask = node.dialect.read_ask(&head).map_err(malformed)?;
    let rules = node.view().rules.clone();
    let early = Early {
        id: ask.id.as_deref().unwrap_or_default(),
        rules: rules.as_ref().map_or(0, |rules| rules.version.0),
    };
    let Some(rules) = rules else {
        let left = START_SPAN.saturating_sub(node.uptime());
        let patience = ask.patience.unwrap_or(PATIENCE);
        let retry = node.retry_after(left.max(NOT_READY_RETRY), patience);
        return Err(early.refuse(Refusal::after(Cause::NotReady, retry)));
    };
    let path = head.uri.path();
    let limits = rules.limits;
    if inbound != Inbound::Forward {
        if !rules.has_host(&ask.host) {
            log::info!(request = early.id, host = ask.host.as_str(), path; "no route");
            return Err(early.refuse(Refusal::new(Cause::NotFound)));
        }
        let customer = authenticate(&rules, ask.key.as_deref(), &early)?;
        return batch::answer(front, customer, inbound).await;
    }
    let Some(route) = rules.route(&ask.host, path) else {
        log::info!(request = early.id, host = ask.host.as_str(), path; "no route");
        return Err(early.refuse(Refusal::new(Cause::NotFound)));
    };
    let customer = if route.open || !rules.has_keys() {
        None
    } else {
        Some(authenticate(&rules, ask.key.as_deref(), &early)?)
    };
    let Some(running) = front.start() else {
        return Err(early.refuse(Refusal::after(Cause::Busy, FULL_RETRY)));
    };
    let body = read_body(body, limits.body_bytes).await;
    let body = body.map_err(|refusal| early.refuse(refusal))?;
    if route.kind == RouteKind::Batch {
        let (Some(customer), Some(id)) = (customer, ask.id.as_deref()) else {
            return Err(early.refuse(Refusal::new(Cause::Malformed)));
        };
        return batch::submit(front, &rules, route, customer, id, &body).await;
    }
    let Some(id) = ask.id.clone() else {
        return Err(early.refuse(Refusal::new(Cause::Malformed)));
    };
    let returned = ask
        .patience
        .is_some_and(|patience| front.has_returned(&route.name, patience));
    let request = CallerRequest {
        id,
        returned,
        route: Arc::new(route.clone()),
        customer: customer.cloned().map(Arc::new),
        shipment: Shipment {
            method: head.method,
            path: head.uri.to_string(),
            headers: head.headers,
            body,
        },
        arrived,
        until: arrived + ask.patience.unwrap_or(PATIENCE).min(route.timeout),
        ask,
    };
    attempt::run(front, request, running).await
}

/// What a line says of a request that is refused before it is placed.
struct Early<'a> {
    id: &'a str,
    rules: u64,
}

impl Early<'_> {
    fn refuse(&self, refusal: Refusal) -> Refusal {
        log::info!(
            request = self.id, cause:% = refusal.cause, rules = self.rules,
            retry_ms = refusal.retry.map_or(0, millis);
            "request refused"
        );
        refusal
    }
}

fn authenticate<'a>(
    rules: &'a Ruleset,
    key: Option<&[u8]>,
    early: &Early<'_>,
) -> Result<&'a Customer, Refusal> {
    let holder = key.and_then(|key| rules.holder(key));
    holder.ok_or_else(|| {
        log::info!(request = early.id, shown = key.is_some(); "key refused");
        early.refuse(Refusal::new(Cause::KeyUnknown))
    })
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(Cause::TooLong))
        }
        // The caller has gone, or sends no HTTP.
        Err(_) => Err(Refusal::new(Cause::Malformed)),
    }
}
