//! Parses a chat request and finds its route.

use std::{borrow::Cow, sync::Arc};

use bytes::Bytes;
use clem_policy::route::Prefixes;
use clem_rules::Route;
use clem_types::{BodyHash, CustomerId, Tokens};
use clem_wire::dispatch::TargetCall;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::refuse;
use crate::{
    body, caller::Caller, entry::Entry, job::verdict, refusal::Refusal, resolve,
    strip::strip_headers, work::Work,
};

/// Assumed answer length where a request sets no `max_tokens`, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Rough number of bytes per token, for cost estimates.
const BYTES_PER_TOKEN: usize = 4;
/// The path of chat requests, at the entry and at the engines.
const PATH: &str = "/v1/chat/completions";

/// The fields of a chat request that the entry reads; the engine interprets the others.
#[derive(Deserialize)]
struct ChatBody<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

/// Reads `POST /v1/chat/completions` into a [`Work`].
pub(crate) struct ReadChat {
    pub(crate) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for ReadChat {
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
        match read(&self.entry, caller, req, &body) {
            Ok(work) => {
                depot.insert_typed(work);
            }
            Err(refusal) => refuse(res, ctrl, &refusal),
        }
    }
}

fn read(entry: &Entry, caller: &Caller, req: &Request, body: &Bytes) -> Result<Work, Refusal> {
    let chat: ChatBody<'_> = serde_json::from_slice(body).map_err(|error| {
        let message = format!(
            "line {}, column {}: not a valid chat request",
            error.line(),
            error.column()
        );
        Refusal::bad_request("bad_json", message)
    })?;
    let Some(model) = chat.model else {
        return Err(Refusal::bad_request("no_model", "the request has no model"));
    };
    let prompt = chat.messages.map_or("", RawValue::get);
    let prompt_tokens = estimate_tokens(prompt.len());
    let cost = prompt_tokens.saturating_add(chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS));
    let owner = caller.customer().map_or("", |customer| customer.as_str());
    let prefixes = Prefixes::new(owner, prompt.as_bytes());
    let body_hash = BodyHash::of(body);
    let may_rerun = is_idempotent(req);
    let key = idempotency_key(req)?;
    let view = entry.view();
    let Some((id, route)) = resolve::model_route(&view.rules, &model) else {
        let message = "no route or model has this name";
        return Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "model_unknown",
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
        cost: Tokens(cost),
        prompt: Tokens(prompt_tokens),
        prefixes,
        call: TargetCall {
            method: "POST".to_owned(),
            path: PATH.to_owned(),
            headers: strip_headers(req.headers(), caller.reveal()),
            body: body.clone(),
            stream: chat.stream,
        },
        suspect: suspicion.is_some(),
        token: None,
    })
}

fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Refuses a caller without a key, unless the route is open.
pub(super) fn authorize(caller: &Caller, route: &Route) -> Result<(), Refusal> {
    if caller.identity.is_some() || route.open {
        return Ok(());
    }
    let message = "this route requires a key";
    Err(Refusal::not_run(
        StatusCode::UNAUTHORIZED,
        "key_missing",
        message,
    ))
}

/// Whether the request may run more than once; `x-idempotent: false` forbids it.
pub(super) fn is_idempotent(req: &Request) -> bool {
    let value = req
        .headers()
        .get("x-idempotent")
        .and_then(|value| value.to_str().ok());
    !value.is_some_and(|value| value.trim().eq_ignore_ascii_case("false"))
}

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;

/// Reads the `idempotency-key` header; `None` when there is none.
pub(crate) fn idempotency_key(req: &Request) -> Result<Option<String>, Refusal> {
    let Some(value) = req.headers().get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY => Ok(Some(key.to_owned())),
        Ok(_) | Err(_) => {
            let message = "the idempotency key is empty, too long or not printable";
            Err(Refusal::bad_request("bad_idempotency_key", message))
        }
    }
}
