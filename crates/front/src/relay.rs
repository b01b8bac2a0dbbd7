//! Relays a target's response to the caller as it arrives.
//!
//! A resumable stream that breaks is resumed at another target. The caller receives complete events
//! only, so the next target can continue after the last one. Any other response that breaks is
//! truncated, so that the caller doesn't mistake a partial body for the complete one.
//!
//! Another run of a stream has to begin with the event after the last one. What comes before that, such as
//! the text of an error, reaches no caller, and a run without any event shows the end of the stream only if
//! another target agrees.
//!
//! Only a length or a last chunk shows that a target's response is complete. One that has neither and
//! ends with its connection is passed on in the same way, so that the caller knows as much as this
//! process does. See `docs/design/platform.md`, "Ends of responses".

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_direct::{Event, EventBuffer, Reply, Slot};
use clem_edge::Framing;
use clem_policy::dispatch::{GrantOutcome, Origin};
use clem_types::Time;
use http::{HeaderValue, Response, StatusCode, Version, header, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::mpsc;

use crate::{
    attempt::{RequestState, millis},
    body::{Part, RelayedBody, ResponseBody},
    held::Held,
};

/// Number of chunks buffered for a slow caller.
const CHUNKS: usize = 8;
/// The media type of events.
const EVENT_STREAM: &str = "text/event-stream";
/// How long the end of a stream may be held back until another target has confirmed it.
const CONFIRM_TIME: Duration = Duration::from_millis(500);

/// How a target's response ended.
enum End {
    /// The response is complete.
    Whole,
    /// The response is complete, but has no event after the last one.
    Empty,
    /// The target closed the connection of a response without length and chunks.
    Closed,
    /// The connection broke or the stream ended inside an event.
    Broken,
    /// The caller disconnected.
    Gone,
    /// A partial event found no room beside what other responses hold.
    NoRoom,
    /// The deadline passed.
    OutOfTime,
    /// The caller had not read what was sent to it when the deadline passed.
    Unread,
    /// A target that was to confirm the end of a stream sent no event in time.
    Unconfirmed,
}

/// The last event at which a run ended that may have been the whole stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    /// The target closed the connection of a response without length and chunks.
    Closed(Option<u64>),
    /// The target had nothing to add to the events of other targets.
    Empty(Option<u64>),
}

impl Doubt {
    fn last_event(self) -> Option<u64> {
        match self {
            Self::Closed(last) | Self::Empty(last) => last,
        }
    }
}

/// Another run of a stream.
enum NextRun {
    /// A target responded.
    Answered(Slot, Box<Reply>),
    /// No target can be asked, or none responded with a success.
    None,
    /// The caller disconnected.
    Gone,
}

/// What the relay task needs besides the target's response.
struct Relay {
    state: RequestState,
    parts: mpsc::Sender<Part>,
    held: Arc<Held>,
    /// How the end of the response to the caller is marked.
    framing: Framing,
    /// Number of data frames received from the current target.
    frames: u32,
    /// Whether the last event had no id, so that no other target can be asked for what follows it.
    unnumbered: bool,
    /// Status of the response to the caller.
    status: StatusCode,
    /// Whether the response is declared as a stream of events.
    is_stream: bool,
    /// Whether each id so far was the one before plus 1; `None` while there is only one.
    steps_by_one: Option<bool>,
    /// Whether a run broke off.
    broke: bool,
    /// Until when a run that is to confirm the end may send no event.
    patience: Option<Time>,
}

/// Starts to relay a response.
pub(crate) fn start(state: RequestState, slot: Slot, reply: Reply) -> Response<ResponseBody> {
    let mut headers = state
        .front
        .node
        .dialect
        .response_headers(&reply.head.headers);
    let has_body = !reply.body.is_end_stream();
    let resumes = has_body && state.request.is_resumable() && reply.head.status.is_success();
    if resumes {
        // The events of another target may take up more or less space.
        headers.remove(header::CONTENT_LENGTH);
    }
    let length = headers.get(header::CONTENT_LENGTH);
    let length: Option<u64> = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let framing = match reply.framing {
        Framing::Length if !resumes => Framing::Length,
        Framing::Length | Framing::Chunked if state.request.reads_chunks => Framing::Chunked,
        Framing::Length | Framing::Chunked | Framing::Close => Framing::Close,
    };
    let mut response = Response::new(());
    *response.status_mut() = reply.head.status;
    *response.headers_mut() = headers;
    let link = match framing {
        Framing::Close => {
            metrics::counter!("clem_front_unframed").increment(1);
            log::info!(
                request = state.request.id.as_str(), target = slot.target.id.as_str();
                "response without a length begun"
            );
            end_with_connection(&mut response);
            Some(state.request.link.clone())
        }
        Framing::Length | Framing::Chunked => None,
    };
    let (parts, waiting) = mpsc::channel(CHUNKS);
    let held = Held::new(Arc::clone(&state.front.relays), Arc::clone(&state.running));
    let relay = Relay {
        state,
        parts,
        held,
        framing,
        frames: 0,
        unnumbered: false,
        status: reply.head.status,
        is_stream: is_event_stream(&reply.head),
        steps_by_one: None,
        broke: false,
        patience: None,
    };
    tokio::spawn(relay.run(slot, reply));
    response.map(|()| RelayedBody::new(waiting, length, link).boxed())
}

/// Makes the end of the connection mark the end of the body. An HTTP/1.1 response without a length
/// would be sent in chunks.
fn end_with_connection(response: &mut Response<()>) {
    *response.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

impl Relay {
    async fn run(mut self, mut slot: Slot, mut reply: Reply) {
        let resumes = self.state.request.is_resumable() && self.status.is_success();
        let node = Arc::clone(&self.state.front.node);
        let mut doubt: Option<Doubt> = None;
        let mut in_doubt = false;
        loop {
            let framing = reply.framing;
            let upload = Arc::clone(&reply.upload);
            let (_, body, connection) = reply.into_parts();
            self.state.placement.framing = Some(framing);
            self.frames = 0;
            let before = self.state.last_event;
            let end = if resumes {
                let origin = Origin {
                    service: slot.target.service.clone(),
                    version: slot.target.version.clone(),
                };
                self.patience = in_doubt.then(|| node.now() + CONFIRM_TIME);
                self.relay_events(body, framing, origin).await
            } else {
                self.relay_bytes(body, framing).await
            };
            self.held.clear_part();
            // A target whose process ends closes its connections as well, and one may end its response
            // before it has read the request.
            let may_be_whole = matches!(end, End::Closed)
                && self.framing == Framing::Close
                && node
                    .may_be_complete(&slot.target, &self.state.request.id, &upload)
                    .await;
            match end {
                End::Whole => {
                    node.recycle(&mut slot, self.status, connection);
                    drop(slot);
                    self.finish("answered").await;
                    return;
                }
                End::Empty => {
                    let is_other = !self.state.avoid.contains(&slot.target.id);
                    self.state.avoid.push(slot.target.id.clone());
                    node.recycle(&mut slot, self.status, connection);
                    drop(slot);
                    let last = self.state.last_event;
                    let confirmed = is_other && doubt.is_some_and(|d| d.last_event() == last);
                    if confirmed || (!self.broke && !self.may_go_on()) {
                        self.finish("answered").await;
                        return;
                    }
                    doubt = Some(Doubt::Empty(last));
                }
                End::Closed if may_be_whole => {
                    self.state.avoid.push(slot.target.id.clone());
                    slot.set_ended(GrantOutcome::Answered);
                    drop(slot);
                    let last = self.state.last_event;
                    let confirmed = doubt.is_some_and(|d| d.last_event() == last);
                    let is_empty = self.broke && last == before;
                    if !resumes || confirmed || (!is_empty && !self.may_go_on()) {
                        self.finish("closed").await;
                        return;
                    }
                    doubt = Some(if is_empty {
                        Doubt::Empty(last)
                    } else {
                        Doubt::Closed(last)
                    });
                }
                End::Gone => {
                    node.end_unread(slot, self.frames);
                    log_end(&self.state, "caller gone", self.status.as_u16());
                    return;
                }
                End::Unconfirmed => {
                    node.end_unread(slot, self.frames);
                    self.finish("closed").await;
                    return;
                }
                End::NoRoom => {
                    node.end_unread(slot, self.frames);
                    break;
                }
                End::OutOfTime => {
                    slot.set_ended(GrantOutcome::Silent);
                    break;
                }
                End::Unread => {
                    node.end_unread(slot, self.frames);
                    metrics::counter!("clem_front_unread").increment(1);
                    log_end(&self.state, "not read", self.status.as_u16());
                    // The response can't be completed any more.
                    self.state.request.link.close();
                    return;
                }
                End::Closed | End::Broken => {
                    self.broke = true;
                    self.state.avoid.push(slot.target.id.clone());
                    let id = &self.state.request.id;
                    node.end_early(slot, id, self.frames, GrantOutcome::Broken);
                }
            }
            in_doubt = doubt == Some(Doubt::Closed(self.state.last_event));
            let began = self.state.placement.version.clone();
            let next = if resumes && self.may_go_on() {
                self.next_run(in_doubt).await
            } else {
                NextRun::None
            };
            match next {
                NextRun::Answered(next, answer) => {
                    let version = &next.target.version;
                    log::info!(
                        request = self.state.request.id.as_str(), target = next.target.id.as_str(),
                        after = self.state.last_event, version = version.as_ref().map(|v| v.as_str()),
                        began = began.as_ref().map(|v| v.as_str()), confirms = in_doubt;
                        "stream resumed"
                    );
                    slot = next;
                    reply = *answer;
                }
                NextRun::None if in_doubt => {
                    self.finish("closed").await;
                    return;
                }
                NextRun::None
                    if !self.broke && doubt == Some(Doubt::Empty(self.state.last_event)) =>
                {
                    self.finish("answered").await;
                    return;
                }
                NextRun::None => break,
                NextRun::Gone => {
                    log_end(&self.state, "caller gone", self.status.as_u16());
                    return;
                }
            }
        }
        log_end(&self.state, "cut off", 0);
    }

    /// Asks another target for what follows the last event. One that is to confirm the end is asked only
    /// for as long as the caller can be kept waiting for it.
    async fn next_run(&mut self, confirms: bool) -> NextRun {
        let left = self.state.request.left(self.state.front.node.now());
        let limit = if confirms { CONFIRM_TIME } else { left };
        let until = tokio::time::Instant::now() + limit;
        loop {
            let next = tokio::select! {
                next = tokio::time::timeout_at(until, self.state.next_response()) => next,
                () = self.parts.closed() => return NextRun::Gone,
            };
            let Ok(Ok((mut slot, reply))) = next else {
                return NextRun::None;
            };
            if self.is_same_kind(&reply.head) {
                return NextRun::Answered(slot, Box::new(reply));
            }
            log::warn!(
                request = self.state.request.id.as_str(), target = slot.target.id.as_str(),
                status = reply.head.status.as_u16(), after = self.state.last_event;
                "stream not resumed"
            );
            self.state.avoid.push(slot.target.id.clone());
            slot.set_ended(GrantOutcome::Failed);
            if !self.may_go_on() {
                return NextRun::None;
            }
        }
    }

    /// Whether a response can follow the one that the caller gets.
    fn is_same_kind(&self, head: &response::Parts) -> bool {
        head.status == self.status && (!self.is_stream || is_event_stream(head))
    }

    /// Whether an event follows the last one, of another run or of another attempt of the caller.
    fn follows(&self, event: &Event) -> bool {
        let (Some(id), Some(last)) = (event.id, self.state.last_event) else {
            return false;
        };
        id > last && (self.steps_by_one != Some(true) || id - last == 1)
    }

    /// Whether another target may be asked for what follows the last event.
    fn may_go_on(&self) -> bool {
        !self.unnumbered && self.state.runs < self.state.request.route.attempts
    }

    /// Ends the response to the caller.
    async fn finish(self, outcome: &str) {
        log_end(&self.state, outcome, self.status.as_u16());
        // What the request held is not needed any more, and the caller may read the end late.
        drop(self.state);
        // The caller may have disconnected.
        let _ = self.parts.send(Part::End).await;
    }

    /// Relays a response unchanged. One that ends with its connection inside an event is truncated, if it
    /// consists of events.
    async fn relay_bytes(&mut self, mut body: Incoming, framing: Framing) -> End {
        let mut events = (self.is_stream && framing == Framing::Close).then(EventBuffer::default);
        loop {
            let frame = match self.next_frame(&mut body).await {
                Ok(Some(frame)) => frame,
                Ok(None) if events.is_some_and(|e| e.holds_part()) => return End::Broken,
                Ok(None) => return end_of(framing),
                Err(end) => return end,
            };
            if let Some(buffer) = &mut events {
                buffer.push(&frame);
                while buffer.next_event().is_some() {}
                if buffer.is_too_long() {
                    events = None;
                    self.held.clear_part();
                } else if !self.has_room(buffer) {
                    return End::NoRoom;
                }
            }
            let chunk = self.held.chunk(&frame);
            drop(frame);
            if let Err(end) = self.send(chunk).await {
                return end;
            }
        }
    }

    /// Relays complete events and remembers the id of the last one.
    async fn relay_events(&mut self, mut body: Incoming, framing: Framing, origin: Origin) -> End {
        let mut events = EventBuffer::default();
        // Whether this run has shown that it goes on after the last event.
        let mut goes_on = self.state.last_event.is_none();
        loop {
            let frame = match self.next_frame(&mut body).await {
                Ok(Some(frame)) => frame,
                Ok(None) if events.holds_part() => return End::Broken,
                Ok(None) if !goes_on && framing != Framing::Close => return End::Empty,
                Ok(None) => return end_of(framing),
                Err(end) => return end,
            };
            events.push(&frame);
            while let Some(event) = events.next_event() {
                if !goes_on && !event.is_comment() {
                    if !self.follows(&event) {
                        log::warn!(
                            request = self.state.request.id.as_str(), event = event.id,
                            after = self.state.last_event,
                            target = self.state.placement.target.as_str();
                            "run doesn't follow the last event"
                        );
                        return End::Broken;
                    }
                    goes_on = true;
                }
                if event.id.is_some_and(|id| Some(id) <= self.state.last_event) {
                    log::warn!(
                        request = self.state.request.id.as_str(), event = event.id,
                        after = self.state.last_event,
                        target = self.state.placement.target.as_str();
                        "event out of order"
                    );
                    return End::Broken;
                }
                self.patience = None;
                self.state.began.get_or_insert_with(|| origin.clone());
                if let Some(id) = event.id {
                    if let Some(last) = self.state.last_event {
                        let by_one = id - last == 1 && self.steps_by_one != Some(false);
                        self.steps_by_one = Some(by_one);
                    }
                    self.state.last_event = Some(id);
                    self.unnumbered = false;
                } else if event.data.is_some() {
                    self.unnumbered = true;
                }
                let chunk = self.held.chunk(&event.bytes);
                // It may be a part of a larger buffer, which would be kept while the caller doesn't read.
                drop(event);
                if let Err(end) = self.send(chunk).await {
                    return end;
                }
            }
            if events.is_too_long() {
                log::warn!(
                    request = self.state.request.id.as_str(),
                    target = self.state.placement.target.as_str();
                    "event too long"
                );
                return End::Broken;
            }
            if !self.has_room(&events) {
                return End::NoRoom;
            }
        }
    }

    /// Whether a partial event finds room beside what other responses hold.
    fn has_room(&self, events: &EventBuffer) -> bool {
        let bytes = events.capacity_bytes();
        if self.held.set_part(bytes) {
            return true;
        }
        let budget = &self.state.front.relays;
        metrics::counter!("clem_front_no_room").increment(1);
        log::warn!(
            request = self.state.request.id.as_str(),
            target = self.state.placement.target.as_str(), part_bytes = bytes,
            used_bytes = budget.used_bytes(), max_bytes = budget.max_bytes();
            "no room for an event"
        );
        false
    }

    /// Sends a chunk to the caller and waits until more may be read, until the deadline: a caller that doesn't
    /// read must not keep the slot longer than its request may last.
    async fn send(&mut self, chunk: Bytes) -> Result<(), End> {
        self.state.sent_bytes += chunk.len();
        let left = self.state.request.left(self.state.front.node.now());
        let sent = async {
            if self.parts.send(Part::Data(chunk)).await.is_err() {
                return Err(End::Gone);
            }
            tokio::select! {
                () = self.held.room() => Ok(()),
                () = self.parts.closed() => Err(End::Gone),
            }
        };
        let sent = tokio::time::timeout(left, sent).await;
        sent.unwrap_or(Err(End::Unread))
    }

    /// Reads the next chunk of a response; `None` at its end.
    async fn next_frame(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, End> {
        loop {
            let now = self.state.front.node.now();
            let left = self.state.request.left(now);
            // A new timer never comes first while there is always another frame.
            if left.is_zero() {
                return Err(End::OutOfTime);
            }
            let wait = match self.patience {
                Some(until) if until <= now => return Err(End::Unconfirmed),
                Some(until) => until.since(now).min(left),
                None => left,
            };
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.parts.closed() => return Err(End::Gone),
                () = tokio::time::sleep(wait) => continue,
            };
            match frame {
                None => return Ok(None),
                Some(Err(error)) => {
                    log::warn!(
                        request = self.state.request.id.as_str(), error:% = error,
                        target = self.state.placement.target.as_str(), frames = self.frames,
                        parts = self.state.request.shared_parts();
                        "response interrupted"
                    );
                    return Err(End::Broken);
                }
                Some(Ok(frame)) => {
                    // Trailers are hop-by-hop here and are not forwarded.
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.frames += 1;
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Whether a response consists of events.
fn is_event_stream(head: &response::Parts) -> bool {
    let kind = head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().starts_with(EVENT_STREAM))
}

/// How a response ended that was read without an error.
fn end_of(framing: Framing) -> End {
    match framing {
        Framing::Length | Framing::Chunked => End::Whole,
        Framing::Close => End::Closed,
    }
}

fn log_end(state: &RequestState, outcome: &str, status: u16) {
    let took = state.front.node.now().since(state.request.arrived);
    metrics::histogram!("clem_front_seconds").record(took.as_secs_f64());
    metrics::counter!("clem_front_answers").increment(1);
    log::info!(
        request = state.request.id.as_str(), route = state.request.route.name.as_str(),
        customer = state.customer(), outcome, status, target = state.placement.target.as_str(),
        version = state.placement.version.as_ref().map(|version| version.as_str()),
        resumes = state.request.info.resumes.as_deref(),
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
