//! The last link of the chain: dispatches the request and gives its answer.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderName, HeaderValue, StatusCode, header},
};
use tokio::sync::mpsc;

use crate::{
    entry::{Entry, Running},
    filter, job,
    refusal::Refusal,
    relay::{Answer, Start},
    work::Work,
};

/// Dispatches the [`Work`] in the depot.
pub(crate) struct Dispatch {
    pub(crate) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for Dispatch {
    async fn handle(
        &self,
        _: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let (Some(work), Some(running)) = (
            filter::taken::<Work>(depot),
            filter::taken::<Running>(depot),
        ) else {
            return internal().render(res);
        };
        // The receiver is dropped with this future when the caller goes away.
        match job::start(self.entry.clone(), work, running).await {
            Ok(Start::Whole(answer)) => give(res, answer),
            Ok(Start::Stream(events)) => {
                let headers = res.headers_mut();
                let sse = HeaderValue::from_static("text/event-stream");
                headers.insert(header::CONTENT_TYPE, sse);
                headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
                res.stream(events_stream(events));
            }
            Ok(Start::Refused(refusal)) => refusal.render(res),
            Err(_) => internal().render(res),
        }
    }
}

fn internal() -> Refusal {
    let message = "the request was lost inside the entry";
    Refusal::maybe(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
}

/// The body of a stream; dropped with the connection, it closes the channel, which tells the job.
fn events_stream(
    receiver: mpsc::Receiver<Bytes>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + 'static {
    stream::unfold(receiver, |mut receiver| async move {
        let event = receiver.recv().await?;
        Some((Ok(event), receiver))
    })
}

/// Headers of a target that are not passed on.
fn is_kept(name: &HeaderName) -> bool {
    let hop = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TRAILER,
        header::UPGRADE,
    ];
    !hop.contains(name) && !name.as_str().starts_with("x-clem-") && name != "keep-alive"
}

fn give(res: &mut Response, answer: Answer) {
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = res.headers_mut();
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            continue;
        };
        if is_kept(&name) {
            headers.append(name, value);
        }
    }
    if answer.replayed {
        headers.insert("x-clem-replayed", HeaderValue::from_static("true"));
    }
    if !answer.body.is_empty() {
        res.body(answer.body);
    }
}
