//! Relaying a target's answer to the caller as it comes.
//!
//! A stream that may be resumed goes on at another target when it breaks: the caller gets whole
//! events only, so that the next target goes on after the last one. Everything else that breaks is
//! cut off, so that nobody takes a part for the whole.

use bytes::Bytes;
use clem_direct::{Events, Reply, Slot};
use clem_policy::dispatch::GrantOutcome;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    answer::{AnswerBody, CutOff, Relayed},
    attempt::{Course, millis},
};

/// Pieces of an answer that may wait for a slow caller.
const PIECES: usize = 8;

/// How a target's answer ended.
enum End {
    /// It is whole.
    Whole,
    /// It broke.
    Broken,
    /// The caller has gone.
    Gone,
    /// The time is over.
    OutOfTime,
}

/// Starts relaying an answer.
pub(crate) fn start(course: Course, slot: Slot, reply: Reply) -> Response<AnswerBody> {
    let headers = course
        .front
        .node
        .dialect
        .answer_headers(&reply.head.headers);
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let mut response = Response::new(());
    *response.status_mut() = reply.head.status;
    *response.headers_mut() = headers;
    let (pieces, waiting) = mpsc::channel(PIECES);
    tokio::spawn(relay(course, slot, reply, pieces));
    response.map(|()| Relayed::new(waiting, length).boxed())
}

async fn relay(
    mut course: Course,
    mut slot: Slot,
    mut reply: Reply,
    pieces: mpsc::Sender<Result<Bytes, CutOff>>,
) {
    let resumes = course.request.is_stream()
        && course.request.route.resumable
        && reply.head.status.is_success();
    loop {
        let (head, body, connection) = reply.into_parts();
        let end = if resumes {
            pass_events(&mut course, body, &pieces).await
        } else {
            pass_bytes(&course, body, &pieces).await
        };
        match end {
            End::Whole => {
                course.front.node.keep(&mut slot, connection);
                drop(slot);
                note_end(&course, "answered", head.status.as_u16());
                return;
            }
            End::Gone => {
                slot.note(GrantOutcome::Answered);
                note_end(&course, "caller gone", head.status.as_u16());
                return;
            }
            End::OutOfTime => {
                slot.note(GrantOutcome::Silent);
                break;
            }
            End::Broken => slot.note(GrantOutcome::Broken),
        }
        course.avoid.push(slot.target.id.clone());
        drop(slot);
        if !resumes || course.runs >= course.request.route.attempts {
            break;
        }
        match course.next_answer().await {
            Ok((next, answer)) if answer.head.status.is_success() => {
                log::info!(
                    request = course.request.id.as_str(), target = next.target.id.as_str(),
                    after = course.seen;
                    "stream resumed"
                );
                slot = next;
                reply = answer;
            }
            Ok(_) | Err(_) => break,
        }
    }
    note_end(&course, "cut off", 0);
    // A caller that has gone needs no word.
    let _ = pieces.send(Err(CutOff)).await;
}

/// Passes an answer on as it comes.
async fn pass_bytes(
    course: &Course,
    mut body: Incoming,
    pieces: &mpsc::Sender<Result<Bytes, CutOff>>,
) -> End {
    loop {
        let frame = match next_frame(course, &mut body, pieces).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return End::Whole,
            Err(end) => return end,
        };
        if pieces.send(Ok(frame)).await.is_err() {
            return End::Gone;
        }
    }
}

/// Passes whole events on and remembers the last one.
async fn pass_events(
    course: &mut Course,
    mut body: Incoming,
    pieces: &mpsc::Sender<Result<Bytes, CutOff>>,
) -> End {
    let mut events = Events::default();
    loop {
        let frame = match next_frame(course, &mut body, pieces).await {
            Ok(Some(frame)) => frame,
            Ok(None) if events.is_empty() => return End::Whole,
            Ok(None) => return End::Broken,
            Err(end) => return end,
        };
        events.push(&frame);
        while let Some(event) = events.next_event() {
            if let Some(id) = event.id {
                course.seen = Some(id);
            }
            if pieces.send(Ok(event.bytes)).await.is_err() {
                return End::Gone;
            }
        }
    }
}

/// The next bytes of an answer; none at its end.
async fn next_frame(
    course: &Course,
    body: &mut Incoming,
    pieces: &mpsc::Sender<Result<Bytes, CutOff>>,
) -> Result<Option<Bytes>, End> {
    loop {
        let left = course.request.left(course.front.node.now());
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = pieces.closed() => return Err(End::Gone),
            () = tokio::time::sleep(left) => return Err(End::OutOfTime),
        };
        match frame {
            None => return Ok(None),
            Some(Err(error)) => {
                log::debug!(request = course.request.id.as_str(), error:% = error; "answer broke");
                return Err(End::Broken);
            }
            Some(Ok(frame)) => {
                // Trailers belong to the target's connection.
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                return Ok(Some(data));
            }
        }
    }
}

fn note_end(course: &Course, outcome: &str, status: u16) {
    let took = course.front.node.now().since(course.request.arrived);
    metrics::histogram!("clem_front_seconds").record(took.as_secs_f64());
    metrics::counter!("clem_front_answers").increment(1);
    log::info!(
        request = course.request.id.as_str(), route = course.request.route.name.as_str(),
        customer = course.customer(), outcome, status, target = course.placed.target.as_str(),
        waited_ms = millis(course.placed.waited), alone = course.placed.alone,
        runs = course.runs, took_ms = millis(took), running = course.front.running();
        "request ended"
    );
    debug_assert!(
        course.front.running() > 0,
        "this request is counted: {:p}",
        &course.running
    );
}
