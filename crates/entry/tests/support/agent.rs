//! An agent that plays what a test tells it.

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

/// What an agent does with one dispatch; the last one is played for all further ones.
#[derive(Debug, Clone)]
pub enum Play {
    /// Tokens of the whole answer from the resume point on, then the end.
    Tokens(u32),
    /// Tokens up to this place, then the body ends without an end mark.
    CutAt(u32),
    /// Tokens up to this place, then the body ends; a resume is answered 404.
    RefuseResume(u32),
    /// Tokens up to this place, then the target dies.
    LostAt(u32),
    /// Tokens up to this place, then silence.
    HangAt(u32),
    /// Frames as given, each with an attempt that is off by this much.
    Frames(Vec<(i64, Event)>),
    /// A whole plain answer with this body.
    Plain(String),
    /// Not run, for this reason.
    NotRun(NotRunReason),
    /// No answer at all, not even a head.
    Silent,
}

#[derive(Default)]
pub struct State {
    pub plays: Vec<Play>,
    pub dispatches: Vec<Dispatch>,
    pub fences: Vec<Fence>,
    /// What fences are answered.
    pub fenced_unstarted: bool,
    /// Whether fences are answered at all.
    pub frozen: bool,
    /// Answers whose entry went away before the end.
    pub dropped: u32,
}

#[derive(Clone)]
pub struct Agent {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
    pub name: String,
}

/// The token at a place, as the fake engine would send it.
pub fn token(index: u32) -> String {
    format!(r#"{{"index":{index}}}"#)
}

impl Agent {
    pub async fn start(name: &str, plays: Vec<Play>) -> Self {
        let state = State {
            plays,
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
        self.state.lock().expect("no test holds it in a panic")
    }

    pub fn dispatched(&self) -> usize {
        self.state().dispatches.len()
    }

    /// How the fleet view shows it.
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

    fn next_play(&self, dispatch: &Dispatch) -> Play {
        let mut state = self.state();
        state.dispatches.push(dispatch.clone());
        if state.plays.len() > 1 {
            return state.plays.remove(0);
        }
        state.plays[0].clone()
    }
}

struct Player {
    agent: Agent,
    dispatch: Dispatch,
    frames: mpsc::Sender<bytes::Bytes>,
}

impl Player {
    async fn send(&self, event: Event) -> bool {
        self.send_as(0, event).await
    }

    async fn send_as(&self, off: i64, event: Event) -> bool {
        let attempt = i64::from(self.dispatch.attempt.0) + off;
        let message = AgentMessage {
            request: self.dispatch.request,
            attempt: Attempt(attempt as u32),
            event,
        };
        let frame = encode_frame(&message).expect("a frame");
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

    /// Stays until the entry goes away.
    async fn hang(&self) {
        self.frames.closed().await;
        self.agent.state().dropped += 1;
    }

    async fn play(self, play: Play) {
        let load = Load::default();
        let stayed = match play {
            Play::Tokens(to) => {
                self.head().await && self.tokens(to).await && self.send(Event::End { load }).await
            }
            Play::RefuseResume(_) if self.dispatch.resume.is_some() => {
                let head = Event::Head {
                    status: 404,
                    headers: Vec::new(),
                };
                self.send(head).await
                    && self.send(Event::Data("{}".into())).await
                    && self.send(Event::End { load }).await
            }
            Play::RefuseResume(to) => self.head().await && self.tokens(to).await,
            Play::CutAt(to) => self.head().await && self.tokens(to).await,
            Play::LostAt(to) => {
                let reason = FailedReason::TargetLost;
                self.head().await
                    && self.tokens(to).await
                    && self.send(Event::Failed { reason }).await
            }
            Play::HangAt(to) => {
                if self.head().await && self.tokens(to).await {
                    self.hang().await;
                }
                true
            }
            Play::Frames(frames) => {
                for (off, event) in frames {
                    self.send_as(off, event).await;
                }
                true
            }
            Play::Plain(body) => {
                self.head().await
                    && self.send(Event::Data(body.into())).await
                    && self.send(Event::End { load }).await
            }
            Play::NotRun(reason) => {
                self.send(Event::NotRun {
                    reason,
                    retry_ms: None,
                    load,
                })
                .await
            }
            Play::Silent => true,
        };
        if !stayed {
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
        let body = req.payload_with_max_size(1 << 24).await.expect("a body");
        let dispatch: Dispatch = codec::decode(body).expect("a dispatch");
        let play = self.next_play(&dispatch);
        if matches!(play, Play::Silent) {
            std::future::pending::<()>().await;
        }
        let (frames, receiver) = mpsc::channel(8);
        tokio::spawn(
            Player {
                agent: self.clone(),
                dispatch,
                frames,
            }
            .play(play),
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
