//! Finds whose key came with a request.

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

/// The first filter: puts a [`Caller`] into the depot.
///
/// A wrong key is refused, also on open routes. A request without a key goes on; the filter that
/// finds its route refuses it unless the route is open.
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
            .insert("x-clem-request", text(&request.to_string()));
        match self.identify(req) {
            Ok((identity, key)) => {
                let came = self.entry.now();
                depot.insert_typed(Caller {
                    request,
                    came,
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
            return Err(wrong_key());
        }
        let shown = value.to_str().ok().and_then(bearer);
        let key: Key = shown
            .and_then(|key| key.parse().ok())
            .ok_or_else(wrong_key)?;
        let view = self.entry.view();
        if view.lease.is_none() {
            // Nothing has been read yet: the key can't be called wrong.
            return Ok((None, Some(key)));
        }
        let (id, rule) = view.rules.authenticate(&key).ok_or_else(wrong_key)?;
        let identity = Identity {
            customer: rule.customer.clone(),
            key: id.clone(),
        };
        Ok((Some(identity), Some(key)))
    }
}

/// The key in `Bearer KEY`.
fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

fn wrong_key() -> Refusal {
    Refusal::no(
        StatusCode::UNAUTHORIZED,
        "key_unknown",
        "the key is not known",
    )
}

fn text(value: &str) -> http::HeaderValue {
    http::HeaderValue::from_str(value).unwrap_or_else(|_| http::HeaderValue::from_static(""))
}
