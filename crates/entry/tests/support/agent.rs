//! A mock agent with scripted behaviour.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use clem_rules::Backend;
use clem_types::{Attempt, Incarnation};
use clem_wire::{
    AgentMessage, Call, Guard, answer, codec,
    dispatch::{
        Dispatch, Event, FailedReason, Fence, FenceReply, Header, NotRunReason, encode_frame,
    },
    read_call,
    sync::{Load, LoadedModel, ModelState, Serves, TargetView},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use tokio::sync::mpsc;

use super::{control::id, secret, serve};

/// What the mock agent does with one dispatch. Each entry is used once, the last one for all
/// further dispatches.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Sends all tokens from the resume point up to this index, then the end event.
    Tokens(u32),
    /// Sends tokens up to this index, then the body ends without an end event.
    CutAt(u32),
    /// Sends tokens up to this index, then the body ends; a resumed request is answered with 404.
    RefuseResume(u32),
    /// Sends tokens up to this index, then reports that the target was lost.
    LostAt(u32),
    /// Sends tokens up to this index, then nothing more.
    HangAt(u32),
    /// Sends these frames, each with the attempt number changed by the given offset.
    Frames(Vec<(i64, Event)>),
    /// Sends a complete answer with this body, without tokens.
    Plain(String),
    /// Reports the request as not run, for this reason.
    NotRun(NotRunReason),
    /// Never answers, not even with a response head.
    Silent,
}

#[derive(Default)]
pub struct State {
    pub behaviours: Vec<Behaviour>,
    pub dispatches: Vec<Dispatch>,
    pub fences: Vec<Fence>,
    /// Whether fences are answered with `NotStarted`.
    pub fenced_unstarted: bool,
    /// Whether fences are left without an answer.
    pub frozen: bool,
    /// Number of answers that the entry dropped before their end.
    pub dropped: u32,
}

#[derive(Clone)]
pub struct Agent {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
    pub name: String,
}

/// The data of the token at an index, as the fake engine sends it.
pub fn token(index: u32) -> String {
    format!(r#"{{"index":{index}}}"#)
}

impl Agent {
    pub async fn start(name: &str, behaviours: Vec<Behaviour>) -> Self {
        let state = State {
            behaviours,
            fenced_unstarted: true,
            ..State::default()
        };
        let mut agent = Self {
            state: Arc::new(Mutex::new(state)),
            address: ([127, 0, 0, 1], 0).into(),
            name: name.to_owned(),
        };
        let router = Router::new()
            .hoop(Guard::new(secret()))
            .push(Router::with_path(&Dispatch::PATH[1..]).post(agent.clone()))
            .push(Router::with_path(&Fence::PATH[1..]).post(agent.clone()));
        agent.address = serve(router).await;
        agent
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    pub fn dispatched(&self) -> usize {
        self.state().dispatches.len()
    }

    /// The fleet view entry of this agent.
    pub fn view(&self, backend: &Backend) -> TargetView {
        let serves = match backend {
            Backend::Service(service) => Serves::Service(service.clone()),
            Backend::Model { model, version, .. } => Serves::Models(vec![LoadedModel {
                model: model.clone(),
                version: *version,
                adapters: Vec::new(),
                state: ModelState::Ready,
            }]),
        };
        TargetView {
            target: id(&self.name),
            agent: self.address,
            incarnation: Incarnation(1),
            data_centre: id("tamaki-a"),
            serves,
            open: true,
        }
    }

    fn next_behaviour(&self, dispatch: &Dispatch) -> Behaviour {
        let mut state = self.state();
        state.dispatches.push(dispatch.clone());
        if state.behaviours.len() > 1 {
            return state.behaviours.remove(0);
        }
        state.behaviours[0].clone()
    }
}

struct Responder {
    agent: Agent,
    dispatch: Dispatch,
    frames: mpsc::Sender<bytes::Bytes>,
}

impl Responder {
    async fn send(&self, event: Event) -> bool {
        self.send_as(0, event).await
    }

    async fn send_as(&self, offset: i64, event: Event) -> bool {
        let attempt = i64::from(self.dispatch.attempt.0) + offset;
        let message = AgentMessage {
            request: self.dispatch.request,
            attempt: Attempt(attempt as u32),
            event,
        };
        let frame = encode_frame(&message).expect("the message can be encoded");
        self.frames.send(frame).await.is_ok()
    }

    async fn head(&self) -> bool {
        let header = Header {
            name: "content-type".to_owned(),
            value: b"text/plain".to_vec(),
        };
        self.send(Event::Started).await
            && self
                .send(Event::Head {
                    status: 200,
                    headers: vec![header],
                })
                .await
    }

    async fn tokens(&self, to: u32) -> bool {
        let from = self.dispatch.resume.map_or(0, |resume| resume.0);
        for index in from..to {
            if !self
                .send(Event::Token {
                    index,
                    data: token(index),
                })
                .await
            {
                return false;
            }
        }
        true
    }

    /// Waits until the entry closes the connection.
    async fn hang(&self) {
        self.frames.closed().await;
        self.agent.state().dropped += 1;
    }

    async fn respond(self, behaviour: Behaviour) {
        let load = Load::default();
        let delivered = match behaviour {
            Behaviour::Tokens(to) => {
                self.head().await && self.tokens(to).await && self.send(Event::End { load }).await
            }
            Behaviour::RefuseResume(_) if self.dispatch.resume.is_some() => {
                let head = Event::Head {
                    status: 404,
                    headers: Vec::new(),
                };
                self.send(head).await
                    && self.send(Event::Data("{}".into())).await
                    && self.send(Event::End { load }).await
            }
            Behaviour::RefuseResume(to) => self.head().await && self.tokens(to).await,
            Behaviour::CutAt(to) => self.head().await && self.tokens(to).await,
            Behaviour::LostAt(to) => {
                let reason = FailedReason::TargetLost;
                self.head().await
                    && self.tokens(to).await
                    && self.send(Event::Failed { reason }).await
            }
            Behaviour::HangAt(to) => {
                if self.head().await && self.tokens(to).await {
                    self.hang().await;
                }
                true
            }
            Behaviour::Frames(frames) => {
                for (offset, event) in frames {
                    self.send_as(offset, event).await;
                }
                true
            }
            Behaviour::Plain(body) => {
                self.head().await
                    && self.send(Event::Data(body.into())).await
                    && self.send(Event::End { load }).await
            }
            Behaviour::NotRun(reason) => {
                self.send(Event::NotRun {
                    reason,
                    retry_ms: None,
                    load,
                })
                .await
            }
            Behaviour::Silent => true,
        };
        if !delivered {
            self.agent.state().dropped += 1;
        }
    }
}

#[async_trait]
impl Handler for Agent {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if req.uri().path() == Fence::PATH {
            let Some(fence) = read_call::<Fence>(req, res).await else {
                return;
            };
            if self.state().frozen {
                tokio::time::sleep(Duration::from_secs(60)).await;
            }
            let unstarted = self.state().fenced_unstarted;
            self.state().fences.push(fence);
            let reply = if unstarted {
                FenceReply::NotStarted
            } else {
                FenceReply::Started
            };
            answer(res, &reply);
            return;
        }
        let body = req
            .payload_with_max_size(1 << 24)
            .await
            .expect("the body can be read");
        let dispatch: Dispatch = codec::decode(body).expect("the body is a dispatch");
        let behaviour = self.next_behaviour(&dispatch);
        if matches!(behaviour, Behaviour::Silent) {
            std::future::pending::<()>().await;
        }
        let (frames, receiver) = mpsc::channel(8);
        tokio::spawn(
            Responder {
                agent: self.clone(),
                dispatch,
                frames,
            }
            .respond(behaviour),
        );
        res.stream(futures_util::stream::unfold(
            receiver,
            |mut receiver| async move {
                let frame = receiver.recv().await?;
                Some((Ok::<_, Infallible>(frame), receiver))
            },
        ));
    }
}
