//! Relays a target's response to the caller as it arrives.
//!
//! A resumable stream that breaks is resumed at another target. The caller receives complete events
//! only, so the next target can continue after the last one. Any other response that breaks is
//! truncated, so that the caller doesn't mistake a partial body for the complete one.

use bytes::Bytes;
use clem_direct::{EventBuffer, Reply, Slot};
use clem_edge::Framing;
use clem_policy::dispatch::GrantOutcome;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    attempt::{RequestState, millis},
    body::{RelayedBody, ResponseBody, Truncated},
};

/// Number of chunks buffered for a slow caller.
const CHUNKS: usize = 8;

/// How a target's response ended.
enum End {
    /// The response is complete.
    Whole,
    /// The connection broke or the stream ended inside an event.
    Broken,
    /// The caller disconnected.
    Gone,
    /// The deadline passed.
    OutOfTime,
}

/// Starts to relay a response.
pub(crate) fn start(state: RequestState, slot: Slot, reply: Reply) -> Response<ResponseBody> {
    let headers = state
        .front
        .node
        .dialect
        .response_headers(&reply.head.headers);
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let mut response = Response::new(());
    *response.status_mut() = reply.head.status;
    *response.headers_mut() = headers;
    let (chunks, waiting) = mpsc::channel(CHUNKS);
    tokio::spawn(relay(state, slot, reply, chunks));
    response.map(|()| RelayedBody::new(waiting, length).boxed())
}

async fn relay(
    mut state: RequestState,
    mut slot: Slot,
    mut reply: Reply,
    chunks: mpsc::Sender<Result<Bytes, Truncated>>,
) {
    let resumes = state.request.is_stream()
        && state.request.route.resumable
        && reply.head.status.is_success();
    loop {
        let framing = reply.framing;
        let (head, body, connection) = reply.into_parts();
        state.placement.framing = Some(framing);
        let end = if resumes {
            relay_events(&mut state, body, &chunks).await
        } else {
            relay_bytes(&mut state, body, &chunks).await
        };
        match end {
            End::Whole => {
                state.front.node.recycle(&mut slot, connection);
                drop(slot);
                log_end(&state, "answered", head.status.as_u16());
                return;
            }
            End::Gone => {
                slot.set_ended(GrantOutcome::Answered);
                log_end(&state, "caller gone", head.status.as_u16());
                return;
            }
            End::OutOfTime => {
                slot.set_ended(GrantOutcome::Silent);
                break;
            }
            End::Broken => slot.set_ended(GrantOutcome::Broken),
        }
        state.avoid.push(slot.target.id.clone());
        drop(slot);
        if !resumes || state.runs >= state.request.route.attempts {
            break;
        }
        match state.next_response().await {
            Ok((next, answer)) if answer.head.status.is_success() => {
                log::info!(
                    request = state.request.id.as_str(), target = next.target.id.as_str(),
                    after = state.last_event;
                    "stream resumed"
                );
                slot = next;
                reply = answer;
            }
            Ok(_) | Err(_) => break,
        }
    }
    log_end(&state, "cut off", 0);
    // The caller may have disconnected.
    let _ = chunks.send(Err(Truncated)).await;
}

/// Relays a response unchanged.
async fn relay_bytes(
    state: &mut RequestState,
    mut body: Incoming,
    chunks: &mpsc::Sender<Result<Bytes, Truncated>>,
) -> End {
    loop {
        let frame = match next_frame(state, &mut body, chunks).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return End::Whole,
            Err(end) => return end,
        };
        state.sent_bytes += frame.len();
        if chunks.send(Ok(frame)).await.is_err() {
            return End::Gone;
        }
    }
}

/// Relays complete events and remembers the id of the last one.
async fn relay_events(
    state: &mut RequestState,
    mut body: Incoming,
    chunks: &mpsc::Sender<Result<Bytes, Truncated>>,
) -> End {
    let mut events = EventBuffer::default();
    loop {
        let frame = match next_frame(state, &mut body, chunks).await {
            Ok(Some(frame)) => frame,
            Ok(None) if events.is_empty() => return End::Whole,
            Ok(None) => return End::Broken,
            Err(end) => return end,
        };
        events.push(&frame);
        while let Some(event) = events.next_event() {
            if let Some(id) = event.id {
                state.last_event = Some(id);
            }
            state.sent_bytes += event.bytes.len();
            if chunks.send(Ok(event.bytes)).await.is_err() {
                return End::Gone;
            }
        }
    }
}

/// Reads the next chunk of a response; `None` at its end.
async fn next_frame(
    state: &RequestState,
    body: &mut Incoming,
    chunks: &mpsc::Sender<Result<Bytes, Truncated>>,
) -> Result<Option<Bytes>, End> {
    loop {
        let left = state.request.left(state.front.node.now());
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = chunks.closed() => return Err(End::Gone),
            () = tokio::time::sleep(left) => return Err(End::OutOfTime),
        };
        match frame {
            None => return Ok(None),
            Some(Err(error)) => {
                log::debug!(request = state.request.id.as_str(), error:% = error; "response interrupted");
                return Err(End::Broken);
            }
            Some(Ok(frame)) => {
                // Trailers are hop-by-hop here and are not forwarded.
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                return Ok(Some(data));
            }
        }
    }
}

fn log_end(state: &RequestState, outcome: &str, status: u16) {
    let took = state.front.node.now().since(state.request.arrived);
    metrics::histogram!("clem_front_seconds").record(took.as_secs_f64());
    metrics::counter!("clem_front_answers").increment(1);
    log::info!(
        request = state.request.id.as_str(), route = state.request.route.name.as_str(),
        customer = state.customer(), outcome, status, target = state.placement.target.as_str(),
        framing = state.placement.framing.map(Framing::as_str), bytes = state.sent_bytes, last_event = state.last_event,
        waited_ms = millis(state.placement.waited), alone = state.placement.without_leader,
        runs = state.runs, took_ms = millis(took), running = state.front.running();
        "request ended"
    );
    debug_assert!(
        state.front.running() > 0,
        "this request is counted: {:p}",
        &state.running
    );
}
