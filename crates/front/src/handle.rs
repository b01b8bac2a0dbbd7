//! Handles a caller's request: parsing, routing, authentication and admission.

use std::{sync::Arc, time::Duration};

use clem_direct::OutgoingRequest;
use clem_edge::{
    Cause, Customer, Refusal, RequestInfo, RequestKind, RouteKind, Ruleset, common_parts,
};
use clem_intake::{BodyError, BodyLimits, read_body};
use http::{HeaderValue, Request, Response, Version, header, request};
use hyper::body::Incoming;

use crate::{
    attempt::{self, STOPPING_RETRY, millis},
    batch,
    body::{ResponseBody, full_body},
    caller::CallerLink,
    front::Front,
    request::CallerRequest,
};

/// Time allowed for a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a front takes to receive rules and targets when the hub starts at the same time.
const STARTUP_TIME: Duration = Duration::from_millis(800);
/// Minimum retry time while this process has no rules.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);
/// Retry time of a body for which there was no room.
const ROOM_RETRY: Duration = Duration::from_millis(300);
/// Retry time when the maximum number of requests is running.
const FULL_RETRY: Duration = Duration::from_millis(300);

/// Handles a request and always produces a response.
pub(crate) async fn handle(
    front: &Arc<Front>,
    request: Request<Incoming>,
    link: CallerLink,
) -> Response<ResponseBody> {
    let answered = answer(front, request, link).await;
    // The rest of such a body is not read.
    let closes = answered.as_ref().is_err_and(|refusal| {
        matches!(
            refusal.cause,
            Cause::TooLong | Cause::BodyRoom | Cause::BodySlow
        )
    });
    let mut response = match answered {
        Ok(response) => response,
        Err(refusal) => front.node.dialect.refusal(&refusal).map(full_body),
    };
    if closes || front.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// The rules for a request. A process that has just started waits for them, and for newer ones if those that it
/// took from a member don't allow the request: after the loss of all processes callers come back before the
/// rules are known, and they come back only once, so a refusal would lose most of them.
async fn rules_for(
    front: &Arc<Front>,
    head: &request::Parts,
    info: &RequestInfo,
) -> Option<Arc<Ruleset>> {
    let node = &front.node;
    let known = node.view().rules.clone();
    let path = head.uri.path();
    let is_final = !node.starts_alone();
    let known = match known {
        Some(rules) if is_final || allows(&rules, info, path) => return Some(rules),
        Some(_) | None => known,
    };
    let timeout = info.timeout.unwrap_or(DEFAULT_TIMEOUT);
    // A caller that is served after half of its time is better off at another process.
    let left = STARTUP_TIME.saturating_sub(node.uptime()).min(timeout / 2);
    let Some(_running) = front.start() else {
        return known;
    };
    let ready = node.wait_until(left, || {
        let view = node.view();
        let rules = view.rules.as_ref().filter(|_| !view.targets.is_empty());
        rules.is_some_and(|rules| !node.starts_alone() || allows(rules, info, path))
    });
    tokio::select! {
        _ = ready => {}
        () = front.ended() => {}
    }
    let rules = node.view().rules.clone();
    // Rules that may be old don't say that a request is wrong.
    rules.filter(|rules| !node.starts_alone() || allows(rules, info, path))
}

/// Whether rules have the route and the key of a request.
fn allows(rules: &Ruleset, info: &RequestInfo, path: &str) -> bool {
    let has_key = || {
        let key = info.key.as_deref();
        key.is_some_and(|key| rules.customer_by_key(key).is_some())
    };
    let route = rules.route(&info.host, path);
    route.is_some_and(|route| route.public || !rules.has_keys() || has_key())
}

async fn answer(
    front: &Arc<Front>,
    request: Request<Incoming>,
    link: CallerLink,
) -> Result<Response<ResponseBody>, Refusal> {
    let arrived = front.node.now();
    let (head, body) = request.into_parts();
    let node = &front.node;
    let malformed = |findings: clem_edge::Findings| {
        log::warn!(findings:% = findings; "request malformed");
        Refusal::new(Cause::Malformed)
    };
    let kind = node.dialect.read_kind(&head).map_err(malformed)?;
    let info = node.dialect.read_request(&head).map_err(malformed)?;
    let rules = rules_for(front, &head, &info).await;
    let early = EarlyRefusal {
        id: info.id.as_deref().unwrap_or_default(),
        rules: rules.as_ref().map_or(0, |rules| rules.version.0),
    };
    let Some(rules) = rules else {
        let left = STARTUP_TIME.saturating_sub(node.uptime());
        let timeout = info.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let retry = node.retry_after(left.max(NOT_READY_RETRY), timeout);
        return Err(early.refuse(Refusal::after(Cause::NotReady, retry)));
    };
    let path = head.uri.path();
    let limits = rules.limits;
    if kind != RequestKind::Forward {
        // An accepted batch outlives the routes of its host.
        let key = info.key.as_deref();
        if key.is_none() && !rules.has_host(&info.host) {
            log::info!(request = early.id, host = info.host.as_str(), path; "no route");
            return Err(early.refuse(Refusal::new(Cause::NotFound)));
        }
        let customer = authenticate(&rules, key, &early)?;
        let not_answered = Refusal::after(Cause::NotReady, STOPPING_RETRY);
        let answering = batch::answer(front, customer, kind, &link);
        return before_end(front, answering, not_answered).await;
    }
    let Some(route) = rules.route(&info.host, path) else {
        log::info!(request = early.id, host = info.host.as_str(), path; "no route");
        return Err(early.refuse(Refusal::new(Cause::NotFound)));
    };
    let customer = if route.public || !rules.has_keys() {
        None
    } else {
        Some(authenticate(&rules, info.key.as_deref(), &early)?)
    };
    let until = arrived + info.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let until = match front.ends() {
        Some(end) if end < until && !route.is_retryable() => {
            return Err(early.refuse(Refusal::after(Cause::Stopping, STOPPING_RETRY)));
        }
        Some(end) => until.min(end),
        None => until,
    };
    let full = || early.refuse(Refusal::after(Cause::Busy, FULL_RETRY));
    if front.is_full() {
        return Err(full());
    }
    let name = customer.map_or("", |customer| customer.name.as_str());
    let body_limits = BodyLimits {
        bytes: limits.body_bytes,
        idle: limits.idle_time,
        total: until.since(node.now()),
        copies: 1,
    };
    let read = read_body(&front.bodies, body, name, body_limits, || node.now()).await;
    let (body, place) = read.map_err(|error| early.refuse(body_refusal(error)))?;
    // An unfinished body doesn't count as a running request, or stalled ones would leave no room for others.
    let Some(running) = front.start() else {
        return Err(full());
    };
    if route.kind == RouteKind::Batch {
        let (Some(customer), Some(id)) = (customer, info.id.as_deref()) else {
            return Err(early.refuse(Refusal::new(Cause::Malformed)));
        };
        let submitting = batch::submit(front, &rules, route, customer, id, (body, place));
        // The batch may have been accepted.
        return before_end(front, submitting, Refusal::new(Cause::OutOfTime)).await;
    }
    let Some(id) = info.id.clone() else {
        return Err(early.refuse(Refusal::new(Cause::Malformed)));
    };
    let is_retry = info
        .timeout
        .is_some_and(|timeout| front.record_request(&route.name, timeout));
    let fields = [name.as_bytes(), path.as_bytes(), &body];
    let parts = common_parts(&info.parts, &fields);
    let request = CallerRequest {
        id,
        parts,
        link,
        reads_chunks: head.version >= Version::HTTP_11,
        is_retry,
        route: Arc::new(route.clone()),
        customer: customer.cloned().map(Arc::new),
        outgoing: OutgoingRequest {
            method: head.method,
            path: head.uri.to_string(),
            headers: head.headers,
            body,
        },
        arrived,
        until,
        info,
    };
    attempt::run(front, request, running, place).await
}

/// The refusal of a request whose body is not taken.
pub(crate) fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLong => Refusal::new(Cause::TooLong),
        BodyError::Slow => Refusal::new(Cause::BodySlow),
        BodyError::NoRoom => Refusal::after(Cause::BodyRoom, ROOM_RETRY),
        BodyError::Broken => Refusal::new(Cause::Malformed),
    }
}

/// Answers with a refusal if this process has to give its last answers meanwhile.
async fn before_end(
    front: &Front,
    answering: impl Future<Output = Result<Response<ResponseBody>, Refusal>>,
    otherwise: Refusal,
) -> Result<Response<ResponseBody>, Refusal> {
    tokio::select! {
        answer = answering => answer,
        () = front.ended() => Err(otherwise),
    }
}

/// Fields of the log line for a request that is refused before it is placed.
struct EarlyRefusal<'a> {
    id: &'a str,
    rules: u64,
}

impl EarlyRefusal<'_> {
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
    early: &EarlyRefusal<'_>,
) -> Result<&'a Customer, Refusal> {
    let customer = key.and_then(|key| rules.customer_by_key(key));
    customer.ok_or_else(|| {
        log::info!(request = early.id, shown = key.is_some(); "API key rejected");
        early.refuse(Refusal::new(Cause::KeyUnknown))
    })
}
