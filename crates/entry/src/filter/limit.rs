//! Applies the customer's rate limit.

use std::sync::Arc;

use clem_types::CustomerId;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};

use super::refuse;
use crate::{body, caller::Caller, entry::Entry, refusal::Refusal, work::Work};

/// Takes a token from the customer's rate limit; runs after the filter that reads the request.
/// Requests without a key have no rate limit.
pub(crate) struct Limit {
    pub(crate) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for Limit {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let Some(customer) = depot
            .get_typed::<Caller>()
            .ok()
            .and_then(|c| c.customer().cloned())
        else {
            return;
        };
        if let Err(refusal) = take_token(&self.entry, &customer).await {
            body::drain(req.take_body());
            refuse(res, ctrl, &refusal);
            return;
        }
        if let Ok(work) = depot.get_typed_mut::<Work>() {
            work.token = Some(self.entry.now());
        }
    }
}

async fn take_token(entry: &Entry, customer: &CustomerId) -> Result<(), Refusal> {
    let Err(retry_ms) = entry.gate.admit(entry, customer).await else {
        return Ok(());
    };
    metrics::counter!("clem_entry_limited").increment(1);
    let message = "the customer's rate limit is exceeded";
    let refusal = Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "rate_limited", message);
    Err(refusal.retry(entry.retry_ms(retry_ms)))
}
