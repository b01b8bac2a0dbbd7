//! Parses a call to a plain service and finds its route.

use std::sync::Arc;

use bytes::Bytes;
use clem_policy::route::Prefixes;
use clem_types::{BodyHash, CustomerId, Tokens};
use clem_wire::dispatch::TargetCall;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};

use super::{
    read_chat::{authorize, idempotency_key, is_idempotent},
    refuse,
};
use crate::{
    body,
    caller::Caller,
    entry::Entry,
    job::verdict,
    refusal::Refusal,
    resolve,
    strip::{contains_key, strip_headers, strip_query},
    work::Work,
};

/// Cost of a service call in the fair queue.
const CALL_COST: Tokens = Tokens(1);
/// The path prefix before the name of the route.
const PREFIX: &str = "/svc/";

/// Parses any method on `/svc/ROUTE/...` into a [`Work`]. The service gets the path after the
/// route's name.
pub(crate) struct ReadService {
    pub(crate) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for ReadService {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let Ok(caller) = depot.get_typed::<Caller>() else {
            return;
        };
        let customer = caller.customer().map_or("", CustomerId::as_str);
        let body = match body::read(&self.entry, req.take_body(), customer).await {
            Ok(body) => body,
            Err(refusal) => return refuse(res, ctrl, &refusal),
        };
        match read(&self.entry, caller, req, body) {
            Ok(work) => {
                depot.insert_typed(work);
            }
            Err(refusal) => refuse(res, ctrl, &refusal),
        }
    }
}

fn read(entry: &Entry, caller: &Caller, req: &Request, body: Bytes) -> Result<Work, Refusal> {
    let path = req.uri().path();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if contains_key(rest, caller.reveal()) {
        let message = "the path contains a key";
        return Err(Refusal::bad_request("key_in_path", message));
    }
    let query = strip_query(req.uri().query().unwrap_or_default(), caller.reveal());
    let path = if query.is_empty() {
        format!("/{rest}")
    } else {
        format!("/{rest}?{query}")
    };
    let body_hash = call_hash(req.method().as_str(), &path, &body);
    let may_rerun = is_idempotent(req);
    let key = idempotency_key(req)?;
    let view = entry.view();
    let Some((id, route)) = resolve::service_route(&view.rules, name) else {
        let message = "no service route has this name";
        return Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "route_unknown",
            message,
        ));
    };
    authorize(caller, route)?;
    let suspicion = view.poison.find(caller.customer(), body_hash);
    if let Some(refusal) = verdict::poison(suspicion, false) {
        return Err(refusal);
    }
    let idempotent = route.idempotent && may_rerun;
    Ok(Work {
        request: caller.request,
        arrived: caller.arrived,
        identity: caller.identity.clone(),
        route: id.clone(),
        backend: route.backend.clone(),
        rules: view.rules.version(),
        idempotent,
        once: key.filter(|_| !idempotent),
        timeout: route.timeout,
        body_hash,
        cost: CALL_COST,
        prompt: Tokens(0),
        prefixes: Prefixes::default(),
        call: TargetCall {
            method: req.method().to_string(),
            path,
            headers: strip_headers(req.headers(), caller.reveal()),
            body,
            stream: false,
        },
        suspect: suspicion.is_some(),
        token: None,
    })
}

/// Hashes method, path and body, which identify a call when it is sent again.
fn call_hash(method: &str, path: &str, body: &[u8]) -> BodyHash {
    let mut bytes = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    bytes.extend_from_slice(method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(path.as_bytes());
    bytes.push(b'\n');
    bytes.extend_from_slice(body);
    BodyHash::of(&bytes)
}
