//! Runs one batch item: it may be parked and resumed until it is whole.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_policy::JobId;
use clem_rules::Backend;
use clem_types::Tokens;
use clem_wire::{
    batch::{AttemptEnd, ItemEnd, LeasedItem},
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

/// How long an item with a broken connection waits for the verdict on its target.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);
/// The status of an item that the rules no longer let run.
const STATUS_GONE: u16 = 404;

/// What has been generated so far.
#[derive(Debug, Default)]
struct Answer {
    text: String,
    tokens: u32,
    model: String,
    finish: String,
}

/// How one stay at the target ended.
#[derive(Debug)]
enum Stay {
    /// The item has its end.
    Ended(AttemptEnd),
    /// The target never saw it.
    NotSent,
    /// The connection broke.
    Broken,
    /// The engine cut the stream; the tokens so far stand.
    Cut,
}

/// Runs a leased item to its end.
pub(crate) async fn run(agent: Arc<Agent>, id: JobId, mut commands: Commands, leased: LeasedItem) {
    let mut answer = Answer::default();
    let mut stays = 0;
    let mut command = commands.recv().await;
    let end = loop {
        match command {
            Some(Command::Start | Command::Resume) => {}
            Some(Command::Park) => {
                command = commands.recv().await;
                continue;
            }
            Some(Command::Stop(stop)) => break stopped(stop, may_repeat(&leased, stays)),
            None => break None,
        }
        let name = name(&leased, stays);
        stays += 1;
        let stay = tokio::select! {
            biased;
            next = commands.recv() => {
                leave(&agent, &name, next);
                command = next;
                continue;
            }
            stay = stay(&agent, id, &leased, &name, &mut answer) => stay,
        };
        match stay {
            Stay::Ended(end) => break Some(end),
            Stay::NotSent => {
                agent.suspicion.notify_one();
                break Some(given_back(may_repeat(&leased, stays - 1)));
            }
            Stay::Broken => {
                break verdict(&agent, id, &mut commands, leased.content.idempotent).await;
            }
            Stay::Cut => break Some(AttemptEnd::Lost { crashed: false }),
        }
    };
    let Some(end) = end else {
        agent.forget(id);
        return;
    };
    let lease = leased.lease;
    agent.keep_end(id, ItemEnd { lease, end });
}

/// The name of one stay at the target; a resumed item must not meet its former stream there.
fn name(leased: &LeasedItem, stays: u32) -> String {
    let item = leased.lease.item;
    let name = format!("{}-{}-{}", item.batch, item.item, leased.lease.attempt);
    if stays == 0 {
        return name;
    }
    format!("{name}-{stays}")
}

/// Takes the stream out of the engine, without waiting for it.
fn leave(agent: &Arc<Agent>, name: &str, command: Option<Command>) {
    if agent.read(crate::Core::is_service) {
        return;
    }
    debug!(name = name, command:? = command; "leaves the engine");
    let agent = agent.clone();
    let name = name.to_owned();
    tokio::spawn(async move {
        if command == Some(Command::Park) {
            agent.engine.park(&name).await;
        } else {
            agent.engine.cancel(&name).await;
        }
    });
}

async fn verdict(
    agent: &Agent,
    id: JobId,
    commands: &mut Commands,
    repeatable: bool,
) -> Option<AttemptEnd> {
    agent.change(|core, _| core.broke(id));
    agent.suspicion.notify_one();
    match tokio::time::timeout(VERDICT_TIMEOUT, next_stop(commands)).await {
        Ok(stop) => stopped(stop, repeatable),
        Err(_) => Some(AttemptEnd::Lost { crashed: false }),
    }
}

/// What a stop means for the control leader; nothing when it wants the item no more.
fn stopped(stop: Stop, repeatable: bool) -> Option<AttemptEnd> {
    match stop {
        Stop::Cancelled => None,
        Stop::Returned | Stop::NotRun(_) => Some(given_back(repeatable)),
        Stop::Failed(_) => Some(AttemptEnd::Lost { crashed: false }),
        Stop::Lost { crashed } => Some(AttemptEnd::Lost { crashed }),
    }
}

/// Whether the item may run from its start again, after so many stays at the target.
fn may_repeat(leased: &LeasedItem, stays: u32) -> bool {
    stays == 0 || leased.content.idempotent
}

fn given_back(repeatable: bool) -> AttemptEnd {
    if repeatable {
        return AttemptEnd::Returned;
    }
    AttemptEnd::Lost { crashed: false }
}

async fn stay(
    agent: &Agent,
    id: JobId,
    leased: &LeasedItem,
    name: &str,
    answer: &mut Answer,
) -> Stay {
    let route = agent.read(|core| core.route_named(&leased.content.route).cloned());
    let Some(route) = route else {
        return gone("the route is gone");
    };
    let sent = match &route.backend {
        Backend::Service(_) => {
            let body = Bytes::from(leased.content.body.clone());
            agent.engine.send(&service_call(leased), name, body).await
        }
        Backend::Model { .. } => {
            let resume = (answer.tokens > 0).then_some(Tokens(answer.tokens));
            let customer = Some(&leased.customer);
            let body = prepare_item(&leased.content.body, &route.backend, customer, resume);
            let Some(body) = body else {
                return gone("the body is not a JSON object");
            };
            agent.engine.chat(name, Bytes::from(body)).await
        }
    };
    let response = match sent {
        Ok(response) => response,
        Err(TargetError::NotSent(_)) => return Stay::NotSent,
        Err(TargetError::Broken(_)) => return Stay::Broken,
    };
    match &route.backend {
        Backend::Model { .. } if response.status() == StatusCode::OK => {
            read_stream(agent, id, name, answer, response).await
        }
        Backend::Model { .. } | Backend::Service(_) => read_whole(response).await,
    }
}

/// Reads tokens until the stream ends.
async fn read_stream(
    agent: &Agent,
    id: JobId,
    name: &str,
    answer: &mut Answer,
    response: Response<Incoming>,
) -> Stay {
    let mut events = response.into_body().into_data_stream().eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Stay::Broken;
        };
        match read_event(&event.data) {
            TokenEvent::Token(token) if token.index == answer.tokens => {
                agent.change(|core, now| core.token(now, id));
                answer.add(token);
            }
            TokenEvent::Token(_) | TokenEvent::Malformed => return Stay::Broken,
            TokenEvent::Cut => return Stay::Cut,
            TokenEvent::Done => return Stay::Ended(answer.whole(name)),
        }
    }
    Stay::Broken
}

async fn read_whole(response: Response<Incoming>) -> Stay {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let Ok(body) = body.collect().await else {
        return Stay::Broken;
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if status == StatusCode::NOT_FOUND && body.contains("model_not_loaded") {
        return Stay::Ended(AttemptEnd::Returned);
    }
    Stay::Ended(AttemptEnd::Done {
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

/// An item that can never be done ends with a refusal of its own.
fn gone(reason: &str) -> Stay {
    let body = json!({ "error": { "code": "not_served", "message": reason, "ran": "no" } });
    Stay::Ended(AttemptEnd::Done {
        status: STATUS_GONE,
        body: body.to_string(),
    })
}

impl Answer {
    fn add(&mut self, token: Token) {
        self.text.push_str(&token.text);
        self.tokens += 1;
        self.model = token.model;
        if let Some(finish) = token.finish {
            self.finish = finish;
        }
    }

    /// The answer in the shape of one that was not streamed.
    fn whole(&self, name: &str) -> AttemptEnd {
        let body = json!({
            "id": name,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish,
            }],
            "usage": { "completion_tokens": self.tokens },
        });
        AttemptEnd::Done {
            status: 200,
            body: body.to_string(),
        }
    }
}
