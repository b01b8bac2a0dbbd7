//! Runs one dispatched request: sends it to the target and relays the answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::Framing;
use clem_policy::JobId;
use clem_rules::Backend;
use clem_types::{Attempt, RequestId};
use clem_wire::{
    AgentMessage,
    dispatch::{Dispatch, Event, FailedReason, Header, NotRunReason, encode_frame},
};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use log::info;
use metrics::counter;
use tokio::sync::mpsc;

use crate::{
    Command, Core, DispatchError, Stop,
    agent::{Agent, Commands},
    body::prepare,
    engine::{MAX_ANSWER_BYTES, TargetError},
    sse::{TokenEvent, read_event},
};

/// How long a job with a broken connection waits to learn whether the target crashed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the data in one frame.
const DATA_BYTES: usize = 256 * 1024;

/// Sends the frames of one answer to the entry.
#[derive(Debug, Clone)]
pub(crate) struct FrameSender {
    sender: mpsc::Sender<Bytes>,
    request: RequestId,
    attempt: Attempt,
}

/// The entry has disconnected.
#[derive(Debug)]
struct EntryGone;

/// Outcome of the exchange with the target.
#[derive(Debug)]
enum Outcome {
    /// It ended, with this last event for the entry.
    Ended(Event),
    /// The target never received the request.
    NotSent,
    /// The connection to the target broke.
    Broken,
    /// The entry has disconnected.
    EntryGone,
}

impl From<EntryGone> for Outcome {
    fn from(_: EntryGone) -> Self {
        Self::EntryGone
    }
}

impl FrameSender {
    pub(crate) fn new(sender: mpsc::Sender<Bytes>, call: &Dispatch) -> Self {
        Self {
            sender,
            request: call.request,
            attempt: call.attempt,
        }
    }

    async fn send(&self, event: Event) -> Result<(), EntryGone> {
        let message = AgentMessage {
            request: self.request,
            attempt: self.attempt,
            event,
        };
        let frame = encode_frame(&message).map_err(|_| EntryGone)?;
        self.sender.send(frame).await.map_err(|_| EntryGone)
    }

    /// ID of this attempt at the target.
    fn stream_id(&self) -> String {
        format!("{}-{}", self.request, self.attempt)
    }
}

/// Answers a dispatch that the core did not admit.
pub(crate) async fn refuse(agent: Arc<Agent>, frames: FrameSender, refusal: DispatchError) {
    let event = match refusal {
        DispatchError::NotRun(reason) => not_run(&agent, reason),
        DispatchError::Duplicate => Event::Failed {
            reason: FailedReason::BadAnswer,
        },
    };
    log_end(&frames, &event);
    let _ = frames.send(event).await;
}

/// Runs a job from the queue to its last frame.
pub(crate) async fn run(
    agent: Arc<Agent>,
    id: JobId,
    mut commands: Commands,
    call: Dispatch,
    frames: FrameSender,
) {
    let first = tokio::select! {
        command = commands.recv() => command,
        () = frames.sender.closed() => None,
    };
    let started = match first {
        Some(Command::Start) => true,
        Some(Command::Stop(stop)) => {
            finish(&frames, stop_event(&agent, stop)).await;
            false
        }
        Some(Command::Park | Command::Resume) => {
            debug_assert!(false, "online jobs are never parked");
            false
        }
        None => false,
    };
    if started {
        exchange(&agent, id, &mut commands, &call, &frames).await;
    }
    agent.remove_job(id);
}

async fn exchange(
    agent: &Arc<Agent>,
    id: JobId,
    commands: &mut Commands,
    call: &Dispatch,
    frames: &FrameSender,
) {
    info!(
        request:% = call.request, attempt:% = call.attempt, route:% = call.route,
        customer:? = call.customer.as_ref().map(|c| c.as_str());
        "request started"
    );
    let outcome = tokio::select! {
        biased;
        stop = next_stop(commands) => {
            cancel(agent, call, frames);
            finish(frames, stop_event(agent, stop)).await;
            return;
        }
        () = frames.sender.closed() => Outcome::EntryGone,
        outcome = relay(agent, id, call, frames) => outcome,
    };
    match outcome {
        Outcome::Ended(event) => finish(frames, event).await,
        Outcome::NotSent => {
            agent.probe_due.notify_one();
            let event = not_run(agent, NotRunReason::TargetDown);
            finish(frames, event).await;
        }
        Outcome::Broken => {
            let stop = await_probe(agent, id, commands).await;
            finish(frames, stop_event(agent, stop)).await;
        }
        Outcome::EntryGone => {
            cancel(agent, call, frames);
            counter!("clem_agent_abandoned_total").increment(1);
            info!(
                request:% = call.request, attempt:% = call.attempt;
                "request abandoned: the entry disconnected"
            );
        }
    }
}

/// Waits until the health check has found whether the target crashed.
async fn await_probe(agent: &Agent, id: JobId, commands: &mut Commands) -> Stop {
    agent.change(|core, _| core.mark_broken(id));
    agent.probe_due.notify_one();
    let waited = tokio::time::timeout(PROBE_TIMEOUT, next_stop(commands)).await;
    waited.unwrap_or(Stop::Lost { crashed: false })
}

pub(crate) async fn next_stop(commands: &mut Commands) -> Stop {
    loop {
        match commands.recv().await {
            Some(Command::Stop(stop)) => return stop,
            Some(Command::Start | Command::Park | Command::Resume) => {}
            // The agent keeps the sender until this task has ended, so the channel isn't closed
            // here.
            None => std::future::pending().await,
        }
    }
}

fn cancel(agent: &Arc<Agent>, call: &Dispatch, frames: &FrameSender) {
    if !is_chat(agent, call) {
        return;
    }
    let agent = agent.clone();
    let name = frames.stream_id();
    tokio::spawn(async move { agent.engine.cancel(&name).await });
}

async fn relay(agent: &Agent, id: JobId, call: &Dispatch, frames: &FrameSender) -> Outcome {
    if frames.send(Event::Started).await.is_err() {
        return Outcome::EntryGone;
    }
    let Some(body) = target_body(agent, call) else {
        return Outcome::Ended(not_run(agent, NotRunReason::NotServed));
    };
    let response = match agent
        .engine
        .send(&call.call, &frames.stream_id(), body)
        .await
    {
        Ok(response) => response,
        Err(TargetError::NotSent(_)) => return Outcome::NotSent,
        Err(TargetError::Broken(_)) => return Outcome::Broken,
    };
    let chat = is_chat(agent, call);
    let answered = if chat && call.call.stream && response.status() == StatusCode::OK {
        relay_stream(agent, id, call, frames, response).await
    } else if chat {
        relay_buffered(agent, id, frames, response).await
    } else {
        relay_service(agent, id, frames, response).await
    };
    answered.unwrap_or_else(|outcome| outcome)
}

/// Relays a token stream, which is complete only if it ends with the `[DONE]` event.
async fn relay_stream(
    agent: &Agent,
    id: JobId,
    call: &Dispatch,
    frames: &FrameSender,
    response: Response<Incoming>,
) -> Result<Outcome, Outcome> {
    frames.send(head(&response)).await?;
    let mut next_index = call.resume.map_or(0, |tokens| tokens.0);
    let mut events = response.into_body().into_data_stream().eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Ok(Outcome::Broken);
        };
        if !agent.read(|core| core.may_relay(agent.now(), id)) {
            return Ok(failed(FailedReason::KeyWithdrawn));
        }
        match read_event(&event.data) {
            TokenEvent::Token(token) if token.index == next_index => {
                agent.change(|core, now| core.record_token(now, id));
                next_index += 1;
                let index = token.index;
                let data = event.data;
                frames.send(Event::Token { index, data }).await?;
            }
            TokenEvent::Token(_) | TokenEvent::Malformed => {
                return Ok(failed(FailedReason::BadAnswer));
            }
            TokenEvent::Cut => return Ok(failed(FailedReason::TargetLost)),
            TokenEvent::Done => return Ok(Outcome::Ended(end_event(agent))),
        }
    }
    Ok(Outcome::Broken)
}

/// Relays an answer that is not streamed. It is buffered first, so that no part is relayed if it
/// breaks off.
async fn relay_buffered(
    agent: &Agent,
    id: JobId,
    frames: &FrameSender,
    response: Response<Incoming>,
) -> Result<Outcome, Outcome> {
    let status = response.status();
    let head = head(&response);
    let framing = Framing::of(response.headers(), response.body());
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let Ok(body) = body.collect().await else {
        return Ok(Outcome::Broken);
    };
    if !agent.engine.is_complete(framing).await {
        return Ok(Outcome::Broken);
    }
    let mut body = body.to_bytes();
    if status == StatusCode::NOT_FOUND && contains_text(&body, "model_not_loaded") {
        return Ok(Outcome::Ended(not_run(agent, NotRunReason::NotServed)));
    }
    if status == StatusCode::CONFLICT && contains_text(&body, "cancelled") {
        return Ok(failed(FailedReason::TargetLost));
    }
    if !agent.read(|core| core.may_relay(agent.now(), id)) {
        return Ok(failed(FailedReason::KeyWithdrawn));
    }
    frames.send(head).await?;
    while !body.is_empty() {
        let part = body.split_to(body.len().min(DATA_BYTES));
        frames.send(Event::Data(part)).await?;
    }
    Ok(Outcome::Ended(end_event(agent)))
}

/// Relays the answer of a plain service as it arrives.
async fn relay_service(
    agent: &Agent,
    id: JobId,
    frames: &FrameSender,
    response: Response<Incoming>,
) -> Result<Outcome, Outcome> {
    frames.send(head(&response)).await?;
    let framing = Framing::of(response.headers(), response.body());
    let mut parts = response.into_body().into_data_stream();
    while let Some(part) = parts.next().await {
        let Ok(mut part) = part else {
            return Ok(Outcome::Broken);
        };
        if !agent.read(|core| core.may_relay(agent.now(), id)) {
            return Ok(failed(FailedReason::KeyWithdrawn));
        }
        while !part.is_empty() {
            let piece = part.split_to(part.len().min(DATA_BYTES));
            frames.send(Event::Data(piece)).await?;
        }
    }
    if !agent.engine.is_complete(framing).await {
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Ended(end_event(agent)))
}

// ------------------------------------------------------------------------

fn is_chat(agent: &Agent, call: &Dispatch) -> bool {
    !agent.read(Core::is_service) && call.call.path.starts_with("/v1/chat/completions")
}

/// The body to send: fields of a chat body are set by [`prepare`], others are forwarded
/// unchanged. `None` if the route does not exist or the chat body is not a JSON object.
fn target_body(agent: &Agent, call: &Dispatch) -> Option<Bytes> {
    let backend = agent.read(|core| {
        let route = core.route_named(&call.route)?;
        Some(route.backend.clone())
    })?;
    match &backend {
        Backend::Service(_) => Some(call.call.body.clone()),
        Backend::Model { .. } => {
            let customer = call.customer.as_ref();
            prepare(&call.call.body, &backend, customer, call.resume).map(Bytes::from)
        }
    }
}

fn head(response: &Response<Incoming>) -> Event {
    Event::Head {
        status: response.status().as_u16(),
        headers: forwarded_headers(response.headers()),
    }
}

/// The headers of an answer without hop-by-hop headers.
fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    const HOP_BY_HOP: [&str; 7] = [
        "connection",
        "content-length",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let mut kept = Vec::new();
    for (name, value) in headers {
        if HOP_BY_HOP.contains(&name.as_str()) {
            continue;
        }
        kept.push(Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        });
    }
    kept
}

fn contains_text(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}

fn end_event(agent: &Agent) -> Event {
    Event::End {
        load: agent.read(Core::load),
    }
}

fn failed(reason: FailedReason) -> Outcome {
    Outcome::Ended(Event::Failed { reason })
}

fn not_run(agent: &Agent, reason: NotRunReason) -> Event {
    let load = agent.read(Core::load);
    let retry_ms = match reason {
        NotRunReason::Overloaded | NotRunReason::SuspectBusy => Some(100 + 20 * load.waiting),
        NotRunReason::NoLease | NotRunReason::TargetDown => Some(1000),
        NotRunReason::NotAllowed
        | NotRunReason::OldIncarnation
        | NotRunReason::Draining
        | NotRunReason::DeadlinePassed
        | NotRunReason::Fenced
        | NotRunReason::NotServed => None,
    };
    Event::NotRun {
        reason,
        retry_ms,
        load,
    }
}

fn stop_event(agent: &Agent, stop: Stop) -> Event {
    match stop {
        Stop::NotRun(reason) => not_run(agent, reason),
        Stop::Failed(reason) => Event::Failed { reason },
        Stop::Lost { .. } | Stop::Cancelled | Stop::Returned => Event::Failed {
            reason: FailedReason::TargetLost,
        },
    }
}

async fn finish(frames: &FrameSender, event: Event) {
    log_end(frames, &event);
    let _ = frames.send(event).await;
}

fn log_end(frames: &FrameSender, event: &Event) {
    let outcome = match event {
        Event::End { .. } => "done",
        Event::NotRun { .. } => "not_run",
        Event::Failed { .. } => "failed",
        Event::Started | Event::Head { .. } | Event::Token { .. } | Event::Data(_) => return,
    };
    counter!("clem_agent_requests_total", "outcome" => outcome).increment(1);
    let reason = match event {
        Event::NotRun { reason, .. } => format!("{reason:?}"),
        Event::Failed { reason } => format!("{reason:?}"),
        Event::End { .. }
        | Event::Started
        | Event::Head { .. }
        | Event::Token { .. }
        | Event::Data(_) => String::new(),
    };
    info!(
        request:% = frames.request, attempt:% = frames.attempt, outcome = outcome,
        reason = reason.as_str();
        "request ended"
    );
}
