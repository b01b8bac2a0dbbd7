//! `GET /v1/batches/ID/results`: results as JSON lines, fetched page by page.

use std::{io, sync::Arc};

use bytes::Bytes;
use clem_types::{BatchId, CustomerId, ItemIndex};
use clem_wire::batch::{BatchResults, ResultsPage};
use futures_util::{Stream, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderValue, header},
};

use super::{CONTROL_TIMEOUT, batch_and_customer, no_leader, unknown_batch, view};
use crate::{body, entry::Entry, refusal::Refusal};

/// Streams the results that are final so far.
pub(super) struct Results {
    pub(super) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for Results {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        body::drain(req.take_body());
        match self.open(req, depot).await {
            Ok((pages, first)) => {
                let lines = HeaderValue::from_static("application/jsonl");
                res.headers_mut().insert(header::CONTENT_TYPE, lines);
                res.stream(pages.stream(first));
            }
            Err(refusal) => refusal.render(res),
        }
    }
}

impl Results {
    async fn open(&self, req: &Request, depot: &Depot) -> Result<(Pages, ResultsPage), Refusal> {
        let (batch, customer) = batch_and_customer(req, depot)?;
        let pages = Pages {
            entry: self.entry.clone(),
            batch,
            customer,
        };
        let first = pages.fetch(ItemIndex(0)).await?;
        Ok((pages, first))
    }
}

/// Fetches one batch's results page by page.
struct Pages {
    entry: Arc<Entry>,
    batch: BatchId,
    customer: CustomerId,
}

impl Pages {
    async fn fetch(&self, from: ItemIndex) -> Result<ResultsPage, Refusal> {
        let call = BatchResults {
            batch: self.batch,
            customer: self.customer.clone(),
            from,
        };
        let reply = self.entry.control.call(&call, CONTROL_TIMEOUT).await;
        reply
            .map_err(|error| no_leader(&error))?
            .ok_or_else(unknown_batch)
    }

    /// Streams the results as lines. A page that can't be fetched breaks the connection, so that
    /// the caller does not take a part for the complete results.
    fn stream(self, first: ResultsPage) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        stream::unfold(Some((self, Ok(first))), |state| async move {
            let (pages, page) = state?;
            let page = match page {
                Ok(page) => page,
                Err(from) => match pages.fetch(from).await {
                    Ok(page) => page,
                    Err(refusal) => return Some((Err(io::Error::other(refusal.message)), None)),
                },
            };
            let text: String = page.results.iter().map(view::result_line).collect();
            let next = page.next.map(|from| (pages, Err(from)));
            Some((Ok(Bytes::from(text)), next))
        })
    }
}
