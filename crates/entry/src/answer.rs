//! The last handler of the chain: dispatches the request and sends its answer.

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
        let (Some(work), Some(running)) =
            (filter::take::<Work>(depot), filter::take::<Running>(depot))
        else {
            return internal_error().render(res);
        };
        // The receiver is dropped with this future when the caller disconnects, which notifies the
        // job.
        match job::start(self.entry.clone(), work, running).await {
            Ok(Start::Complete(answer)) => send_answer(res, answer),
            Ok(Start::Stream(events)) => {
                let headers = res.headers_mut();
                let sse = HeaderValue::from_static("text/event-stream");
                headers.insert(header::CONTENT_TYPE, sse);
                headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
                res.stream(events_stream(events));
            }
            Ok(Start::Refused(refusal)) => refusal.render(res),
            Err(_) => internal_error().render(res),
        }
    }
}

fn internal_error() -> Refusal {
    let message = "internal error: the request was dropped inside the entry";
    Refusal::maybe_ran(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
}

/// The body of an event stream. It is dropped with the connection, which closes the channel and
/// thereby notifies the job.
fn events_stream(
    receiver: mpsc::Receiver<Bytes>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + 'static {
    stream::unfold(receiver, |mut receiver| async move {
        let event = receiver.recv().await?;
        Some((Ok(event), receiver))
    })
}

/// Whether a header of the target is passed on to the caller.
fn is_forwarded(name: &HeaderName) -> bool {
    let hop_by_hop = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TRAILER,
        header::UPGRADE,
    ];
    !hop_by_hop.contains(name) && !name.as_str().starts_with("x-clem-") && name != "keep-alive"
}

fn send_answer(res: &mut Response, answer: Answer) {
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = res.headers_mut();
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            continue;
        };
        if is_forwarded(&name) {
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
