//! Runs one batch item, which may be parked and resumed several times.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::Framing;
use clem_policy::JobId;
use clem_rules::Backend;
use clem_types::Tokens;
use clem_wire::{
    batch::{AttemptEnd, FinishedAttempt, LeasedItem},
    dispatch::{Header, TargetCall},
};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use log::debug;
use serde_json::json;

use crate::{
    Command, Stop,
    agent::{Agent, Commands},
    body::prepare_item,
    engine::{MAX_ANSWER_BYTES, TargetError},
    online::next_stop,
    sse::{Token, TokenEvent, read_event},
};

/// How long an item with a broken connection waits to learn whether the target crashed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// HTTP status in the result of an item that can never run.
const STATUS_NOT_FOUND: u16 = 404;

/// The answer generated so far.
#[derive(Debug, Default)]
struct Answer {
    text: String,
    tokens: u32,
    model: String,
    finish_reason: String,
}

/// Outcome of one run at the target, from its start or resumption to parking or its end.
#[derive(Debug)]
enum RunOutcome {
    /// The item has its result.
    Ended(AttemptEnd),
    /// The target never received the request.
    NotSent,
    /// The connection broke, or the answer was invalid.
    Broken,
    /// The engine cancelled or parked the stream, without a command of this task.
    Cut,
}

/// Runs a leased item to its end and queues the result.
pub(crate) async fn run(agent: Arc<Agent>, id: JobId, mut commands: Commands, leased: LeasedItem) {
    let mut answer = Answer::default();
    let mut runs = 0;
    let mut command = commands.recv().await;
    let end = loop {
        match command {
            Some(Command::Start | Command::Resume) => {}
            Some(Command::Park) => {
                command = commands.recv().await;
                continue;
            }
            Some(Command::Stop(stop)) => break end_after_stop(stop, may_rerun(&leased, runs)),
            None => break None,
        }
        let stream = stream_id(&leased, runs);
        runs += 1;
        let outcome = tokio::select! {
            biased;
            next = commands.recv() => {
                detach(&agent, &stream, next);
                command = next;
                continue;
            }
            outcome = run_once(&agent, id, &leased, &stream, &mut answer) => outcome,
        };
        match outcome {
            RunOutcome::Ended(end) => break Some(end),
            RunOutcome::NotSent => {
                agent.probe_due.notify_one();
                // This run never started.
                break Some(returned_or_lost(may_rerun(&leased, runs - 1)));
            }
            RunOutcome::Broken => {
                break await_probe(&agent, id, &mut commands, leased.content.idempotent).await;
            }
            RunOutcome::Cut => break Some(AttemptEnd::Lost { crashed: false }),
        }
    };
    let Some(end) = end else {
        agent.remove_job(id);
        return;
    };
    let lease = leased.lease;
    agent.queue_end(id, FinishedAttempt { lease, end });
}

/// ID of one run at the target. Each run has its own, so that a resumed item doesn't collide
/// with its earlier stream.
fn stream_id(leased: &LeasedItem, runs: u32) -> String {
    let item = leased.lease.item;
    let name = format!("{}-{}-{}", item.batch, item.item, leased.lease.attempt);
    if runs == 0 {
        return name;
    }
    format!("{name}-{runs}")
}

/// Parks or cancels the stream at the engine in a background task. Services can do neither.
fn detach(agent: &Arc<Agent>, stream: &str, command: Option<Command>) {
    if agent.read(crate::Core::is_service) {
        return;
    }
    debug!(name = stream, command:? = command; "detaching the stream from the engine");
    let agent = agent.clone();
    let stream = stream.to_owned();
    tokio::spawn(async move {
        if command == Some(Command::Park) {
            agent.engine.park(&stream).await;
        } else {
            agent.engine.cancel(&stream).await;
        }
    });
}

/// Waits until the health check has found whether the target crashed.
async fn await_probe(
    agent: &Agent,
    id: JobId,
    commands: &mut Commands,
    rerunnable: bool,
) -> Option<AttemptEnd> {
    agent.change(|core, _| core.mark_broken(id));
    agent.probe_due.notify_one();
    match tokio::time::timeout(PROBE_TIMEOUT, next_stop(commands)).await {
        Ok(stop) => end_after_stop(stop, rerunnable),
        Err(_) => Some(AttemptEnd::Lost { crashed: false }),
    }
}

/// The result that a stopped item reports; `None` if the control leader no longer needs one.
fn end_after_stop(stop: Stop, rerunnable: bool) -> Option<AttemptEnd> {
    match stop {
        Stop::Cancelled => None,
        Stop::Returned | Stop::NotRun(_) => Some(returned_or_lost(rerunnable)),
        Stop::Failed(_) => Some(AttemptEnd::Lost { crashed: false }),
        Stop::Lost { crashed } => Some(AttemptEnd::Lost { crashed }),
    }
}

/// Whether the item may run again from its start, after `runs` runs at the target.
fn may_rerun(leased: &LeasedItem, runs: u32) -> bool {
    runs == 0 || leased.content.idempotent
}

fn returned_or_lost(rerunnable: bool) -> AttemptEnd {
    if rerunnable {
        return AttemptEnd::Returned;
    }
    AttemptEnd::Lost { crashed: false }
}

async fn run_once(
    agent: &Agent,
    id: JobId,
    leased: &LeasedItem,
    stream: &str,
    answer: &mut Answer,
) -> RunOutcome {
    let route = agent.read(|core| core.route_named(&leased.content.route).cloned());
    let Some(route) = route else {
        return not_served("the route does not exist");
    };
    let sent = match &route.backend {
        Backend::Service(_) => {
            let body = Bytes::from(leased.content.body.clone());
            agent.engine.send(&service_call(leased), stream, body).await
        }
        Backend::Model { .. } => {
            let resume = (answer.tokens > 0).then_some(Tokens(answer.tokens));
            let customer = Some(&leased.customer);
            let body = prepare_item(&leased.content.body, &route.backend, customer, resume);
            let Some(body) = body else {
                return not_served("the body is not a JSON object");
            };
            agent.engine.chat(stream, Bytes::from(body)).await
        }
    };
    let response = match sent {
        Ok(response) => response,
        Err(TargetError::NotSent(_)) => return RunOutcome::NotSent,
        Err(TargetError::Broken(_)) => return RunOutcome::Broken,
    };
    match &route.backend {
        Backend::Model { .. } if response.status() == StatusCode::OK => {
            read_stream(agent, id, stream, answer, response).await
        }
        Backend::Model { .. } | Backend::Service(_) => read_whole(agent, response).await,
    }
}

/// Appends tokens to the answer until the stream ends.
async fn read_stream(
    agent: &Agent,
    id: JobId,
    stream: &str,
    answer: &mut Answer,
    response: Response<Incoming>,
) -> RunOutcome {
    let mut events = response.into_body().into_data_stream().eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return RunOutcome::Broken;
        };
        match read_event(&event.data) {
            TokenEvent::Token(token) if token.index == answer.tokens => {
                agent.change(|core, now| core.record_token(now, id));
                answer.push(token);
            }
            TokenEvent::Token(_) | TokenEvent::Malformed => return RunOutcome::Broken,
            TokenEvent::Cut => return RunOutcome::Cut,
            TokenEvent::Done => return RunOutcome::Ended(answer.to_end(stream)),
        }
    }
    RunOutcome::Broken
}

async fn read_whole(agent: &Agent, response: Response<Incoming>) -> RunOutcome {
    let status = response.status();
    let framing = Framing::of(response.headers(), response.body());
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let Ok(body) = body.collect().await else {
        return RunOutcome::Broken;
    };
    if !agent.engine.is_complete(framing).await {
        return RunOutcome::Broken;
    }
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if status == StatusCode::NOT_FOUND && body.contains("model_not_loaded") {
        return RunOutcome::Ended(AttemptEnd::Returned);
    }
    RunOutcome::Ended(AttemptEnd::Done {
        status: status.as_u16(),
        body,
    })
}

fn service_call(leased: &LeasedItem) -> TargetCall {
    let item = leased.lease.item;
    let header = |name: &str, value: String| Header {
        name: name.to_owned(),
        value: value.into_bytes(),
    };
    TargetCall {
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: vec![
            header("content-type", "application/json".to_owned()),
            header("idempotency-key", format!("{}-{}", item.batch, item.item)),
        ],
        body: Bytes::new(),
        stream: false,
    }
}

/// The result of an item that can never run: an error body, so that it is not retried.
fn not_served(reason: &str) -> RunOutcome {
    let body = json!({ "error": { "code": "not_served", "message": reason, "ran": "no" } });
    RunOutcome::Ended(AttemptEnd::Done {
        status: STATUS_NOT_FOUND,
        body: body.to_string(),
    })
}

impl Answer {
    fn push(&mut self, token: Token) {
        self.text.push_str(&token.text);
        self.tokens += 1;
        self.model = token.model;
        if let Some(finish_reason) = token.finish_reason {
            self.finish_reason = finish_reason;
        }
    }

    /// The result in the format of a chat completion that was not streamed.
    fn to_end(&self, stream: &str) -> AttemptEnd {
        let body = json!({
            "id": stream,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish_reason,
            }],
            "usage": { "completion_tokens": self.tokens },
        });
        AttemptEnd::Done {
            status: 200,
            body: body.to_string(),
        }
    }
}
