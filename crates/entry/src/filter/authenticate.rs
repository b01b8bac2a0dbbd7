//! Identifies the customer by the API key of a request.

use std::sync::Arc;

use clem_types::Key;
use http::header::AUTHORIZATION;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};

use super::refuse;
use crate::{
    body,
    caller::{Caller, Identity},
    entry::Entry,
    refusal::Refusal,
};

/// The first filter: stores a [`Caller`] in the depot.
///
/// An unknown key is refused, also on open routes. A request without a key continues; the filter
/// that finds its route refuses it unless the route is open.
pub(crate) struct Authenticate {
    pub(crate) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for Authenticate {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let request = self.entry.new_request();
        res.headers_mut()
            .insert("x-clem-request", header_value(&request.to_string()));
        match self.identify(req) {
            Ok((identity, key)) => {
                let arrived = self.entry.now();
                depot.insert_typed(Caller {
                    request,
                    arrived,
                    identity,
                    key: key.map(Arc::new),
                });
            }
            Err(refusal) => {
                body::drain(req.take_body());
                refuse(res, ctrl, &refusal);
            }
        }
    }
}

impl Authenticate {
    fn identify(&self, req: &Request) -> Result<(Option<Identity>, Option<Key>), Refusal> {
        let mut values = req.headers().get_all(AUTHORIZATION).iter();
        let Some(value) = values.next() else {
            return Ok((None, None));
        };
        if values.next().is_some() {
            return Err(unknown_key());
        }
        let token = value.to_str().ok().and_then(bearer_token);
        let key: Key = token
            .and_then(|key| key.parse().ok())
            .ok_or_else(unknown_key)?;
        let view = self.entry.view();
        if view.lease.is_none() {
            // No rules have been loaded, so the key can't be rejected as unknown yet.
            return Ok((None, Some(key)));
        }
        let (id, rule) = view.rules.authenticate(&key).ok_or_else(unknown_key)?;
        let identity = Identity {
            customer: rule.customer.clone(),
            key: id.clone(),
        };
        Ok((Some(identity), Some(key)))
    }
}

/// Extracts the key from `Bearer KEY`.
fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

fn unknown_key() -> Refusal {
    Refusal::not_run(StatusCode::UNAUTHORIZED, "key_unknown", "unknown key")
}

fn header_value(value: &str) -> http::HeaderValue {
    http::HeaderValue::from_str(value).unwrap_or_else(|_| http::HeaderValue::from_static(""))
}
