//! `GET /v1/batches/ID` and `POST /v1/batches/ID/cancel`.

use std::sync::Arc;

use clem_wire::batch::{BatchCancel, BatchStatus, BatchView};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderValue, header},
};

use super::{CONTROL_TIMEOUT, batch_and_customer, no_leader, unknown_batch, view};
use crate::{body, entry::Entry, refusal::Refusal};

type Result<T> = std::result::Result<T, Refusal>;

/// Answers with the progress of a batch.
pub(super) struct Status {
    pub(super) entry: Arc<Entry>,
}

/// Cancels a batch and answers with its progress.
pub(super) struct Cancel {
    pub(super) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for Status {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        body::drain(req.take_body());
        send_status(res, self.find(req, depot).await);
    }
}

impl Status {
    async fn find(&self, req: &Request, depot: &Depot) -> Result<BatchView> {
        let (batch, customer) = batch_and_customer(req, depot)?;
        let call = BatchStatus { batch, customer };
        let reply = self.entry.control.call(&call, CONTROL_TIMEOUT).await;
        reply
            .map_err(|error| no_leader(&error))?
            .ok_or_else(unknown_batch)
    }
}

#[async_trait]
impl Handler for Cancel {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        body::drain(req.take_body());
        send_status(res, self.cancel(req, depot).await);
    }
}

impl Cancel {
    async fn cancel(&self, req: &Request, depot: &Depot) -> Result<BatchView> {
        let (batch, customer) = batch_and_customer(req, depot)?;
        let call = BatchCancel { batch, customer };
        let reply = self.entry.control.call(&call, CONTROL_TIMEOUT).await;
        reply
            .map_err(|error| no_leader(&error))?
            .ok_or_else(unknown_batch)
    }
}

fn send_status(res: &mut Response, found: Result<BatchView>) {
    match found {
        Ok(batch) => {
            let json = HeaderValue::from_static("application/json");
            res.headers_mut().insert(header::CONTENT_TYPE, json);
            res.body(view::batch(&batch));
        }
        Err(refusal) => refusal.render(res),
    }
}
