//! Test harness: an agent process, a fake target and a fake control leader inside the test.

// Each test program uses only a part of this module.
#![allow(dead_code, unreachable_pub)]

mod control;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use clem_checks::{Process, RequestLine, Result, eventually, read_requests};
use clem_fake::ReservedPort;
use clem_rules::{Backend, BatchCharge, Customer, Key, Route, Rule, RuleName, Rules, Target};
use clem_types::{
    Attempt, BatchId, BodyHash, Incarnation, ItemIndex, Key as SecretKey, ModelVersion, Rate,
    RequestId, Tokens, UnixMillis, Version,
};
use clem_wire::{
    AgentMessage, Client, FleetSecret,
    batch::{Item, LeaseRef, LeasedItem},
    codec,
    dispatch::{Dispatch, Event, Header, TargetCall, frame_codec},
    sync::ItemRef,
};
use eyre::OptionExt;
use futures_util::{StreamExt, TryStreamExt};
use http_body_util::BodyExt;
use tempfile::TempDir;
use tokio_util::{codec::FramedRead, io::StreamReader};

pub use control::FakeControl;

const SECRET: &str = "a-secret-for-tests-only";
/// Timeout of a call to the agent.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// An agent, its target and the fake control leader.
pub struct Harness {
    pub control: FakeControl,
    pub agent: Process,
    pub target: Process,
    pub agent_address: SocketAddr,
    pub target_address: SocketAddr,
    pub client: Client,
    pub folder: TempDir,
    _ports: Vec<ReservedPort>,
}

/// The stream of frames that answers one dispatch.
pub struct Frames {
    stream: std::pin::Pin<Box<dyn futures_util::Stream<Item = Result<AgentMessage>> + Send>>,
}

impl Harness {
    /// Starts everything and waits until the agent reports that the target is up.
    pub async fn start(kind: &str, target_args: &[&str], agent_args: &[&str]) -> Result<Self> {
        let folder = tempfile::Builder::new().prefix("clem-agent-").tempdir()?;
        std::fs::write(folder.path().join("secret"), SECRET)?;
        let secret = FleetSecret::new(SECRET).map_err(|reason| eyre::eyre!(reason))?;
        let ports = vec![ReservedPort::new()?, ReservedPort::new()?];
        let target_address = ports[0].address();
        let agent_address = ports[1].address();
        let control = FakeControl::start(secret.clone(), rules(kind, target_address, 1)?).await?;

        let log = folder.path().join("requests");
        let mut args = strings(&[kind, "--listen", &target_address.to_string()]);
        args.extend(strings(&["--log", &log.display().to_string()]));
        if kind == "engine" {
            args.extend(strings(&["--model", "assistant-7b@3"]));
        }
        args.extend(strings(target_args));
        let target = Process::start("target", "clem-fake", args, folder.path())?;

        let secret_file = folder.path().join("secret").display().to_string();
        let mut args = strings(&["--listen", &agent_address.to_string()]);
        args.extend(strings(&["--target", &target_address.to_string()]));
        args.extend(strings(&["--data-centre", "tamaki-a"]));
        args.extend(strings(&["--control", &control.address.to_string()]));
        args.extend(strings(&["--fleet-secret-file", &secret_file]));
        args.extend(strings(agent_args));
        let agent = Process::start("agent", "clem-agent", args, folder.path())?;
        let harness = Self {
            control,
            agent,
            target,
            agent_address,
            target_address,
            client: Client::new(secret),
            folder,
            _ports: ports,
        };
        harness.wait_until_up().await?;
        Ok(harness)
    }

    /// Waits until the agent reports that the target is up and has the current rules.
    pub async fn wait_until_up(&self) -> Result<()> {
        eventually("the target to be up", async || {
            self.control.read(|state| {
                let report = state.synced.as_ref().and_then(|s| s.report.as_ref());
                report.is_some_and(|r| r.alive)
                    && state
                        .synced
                        .as_ref()
                        .is_some_and(|s| s.rules == state.rules.version())
            })
        })
        .await
    }

    /// Restarts the target and waits until the agent reports it as up.
    pub async fn restart_target(&mut self) -> Result<()> {
        self.target.restart()?;
        self.control.change(|state| state.synced = None);
        self.wait_until_up().await
    }

    /// The agent's incarnation, from its last sync.
    pub fn incarnation(&self) -> Incarnation {
        self.control.read(|state| {
            let synced = state.synced.as_ref();
            synced.map_or(Incarnation(0), |s| s.holder.incarnation)
        })
    }

    /// A dispatch of a streamed chat for the customer totara.
    pub fn chat(&self, request: u128, content: &str, tokens: u32) -> Dispatch {
        let body = chat_body(content, tokens, true);
        Dispatch {
            request: RequestId(request),
            attempt: Attempt(1),
            incarnation: self.incarnation(),
            customer: "totara".parse().ok(),
            key: "totara-1".parse().ok(),
            route: "assistant".parse().expect("a route id"),
            rules: Version(1),
            idempotent: true,
            suspect: false,
            deadline_ms: 30_000,
            cost: Tokens(10),
            resume: None,
            body_hash: BodyHash::of(body.as_bytes()),
            call: TargetCall {
                method: "POST".to_owned(),
                path: "/v1/chat/completions".to_owned(),
                headers: vec![Header {
                    name: "content-type".to_owned(),
                    value: b"application/json".to_vec(),
                }],
                body: Bytes::from(body),
                stream: true,
            },
        }
    }

    /// A dispatch to the plain service for the customer totara.
    pub fn service(&self, request: u128, body: &str) -> Dispatch {
        let mut call = self.chat(request, body, 1);
        call.route = "waitlist".parse().expect("a route id");
        call.idempotent = false;
        call.call.path = "/confirm".to_owned();
        call.call.body = Bytes::from(body.to_owned());
        call.call.stream = false;
        call
    }

    /// Posts a dispatch and returns the stream of its frames.
    pub async fn send(&self, call: &Dispatch) -> Result<Frames> {
        let body = codec::encode(call)?.into();
        let response = self
            .client
            .open(self.agent_address, Dispatch::PATH, body)
            .await?;
        let stream = response.into_body().into_data_stream();
        let reader = StreamReader::new(stream.map_err(std::io::Error::other));
        let frames = FramedRead::new(reader, frame_codec());
        let messages = frames.map(|frame| Ok(codec::decode::<AgentMessage>(&frame?)?));
        Ok(Frames {
            stream: Box::pin(messages),
        })
    }

    /// Posts a dispatch and returns all its events.
    pub async fn run(&self, call: &Dispatch) -> Result<Vec<Event>> {
        self.send(call).await?.rest().await
    }

    /// Fences an attempt.
    pub async fn fence(
        &self,
        request: u128,
        attempt: u32,
    ) -> Result<clem_wire::dispatch::FenceReply> {
        let fence = clem_wire::dispatch::Fence {
            request: RequestId(request),
            attempt: Attempt(attempt),
        };
        Ok(self
            .client
            .call(self.agent_address, &fence, CALL_TIMEOUT)
            .await?)
    }

    /// The requests that the target has received, without the agent's control calls.
    pub fn requests(&self) -> Result<Vec<RequestLine>> {
        let lines = read_requests(&self.folder.path().join("requests"))?;
        let own = |line: &RequestLine| line.path.starts_with("/engine/");
        Ok(lines.into_iter().filter(|line| !own(line)).collect())
    }

    /// Waits until the target has received `count` requests, and returns them.
    pub async fn received(&self, count: usize) -> Result<Vec<RequestLine>> {
        eventually("requests at the target", async || {
            self.requests().is_ok_and(|lines| lines.len() >= count)
        })
        .await?;
        self.requests()
    }

    /// Waits until the request at `index` in the target's log has this outcome.
    pub async fn outcome(&self, index: usize, outcome: &str) -> Result<()> {
        eventually(&format!("request {index} to be {outcome}"), async || {
            let lines = self.requests().unwrap_or_default();
            lines.get(index).is_some_and(|line| line.outcome == outcome)
        })
        .await
    }
}

impl Frames {
    /// The next event; `None` at the end of the stream.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        let next = tokio::time::timeout(clem_checks::BOUND, self.stream.next()).await?;
        Ok(next.transpose()?.map(|message| message.event))
    }

    /// Skips events until one matches, and returns it.
    pub async fn until(&mut self, wanted: impl Fn(&Event) -> bool) -> Result<Event> {
        loop {
            let event = self.next().await?.ok_or_eyre("the frames ended")?;
            if wanted(&event) {
                return Ok(event);
            }
        }
    }

    /// All remaining events.
    pub async fn rest(mut self) -> Result<Vec<Event>> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await? {
            events.push(event);
        }
        Ok(events)
    }
}

/// The concatenated text of all tokens.
pub fn text(events: &[Event]) -> String {
    let mut text = String::new();
    for event in events {
        let Event::Token { data, .. } = event else {
            continue;
        };
        let json: serde_json::Value = serde_json::from_str(data).expect("token data is JSON");
        text.push_str(
            json["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    text
}

pub fn chat_body(content: &str, tokens: u32, stream: bool) -> String {
    clem_checks::chat_body(content, tokens, stream)
}

/// Item `index` of the test batch, a chat with an answer of `tokens` tokens.
pub fn item(index: u32, content: &str, tokens: u32) -> LeasedItem {
    LeasedItem {
        lease: LeaseRef {
            item: ItemRef {
                batch: BatchId(7),
                item: ItemIndex(index),
            },
            attempt: Attempt(1),
        },
        customer: "totara".parse().expect("a customer id"),
        key: "totara-1".parse().expect("a key id"),
        content: Item {
            custom_id: format!("item-{index}"),
            route: "assistant".parse().expect("a route id"),
            body: chat_body(content, tokens, false),
            idempotent: true,
        },
        due: Some(UnixMillis(0)),
        weight: 1,
        cost: Tokens(tokens),
        suspect: false,
    }
}

/// Rules with one target, two customers and three routes, at `version`.
pub fn rules(kind: &str, target: SocketAddr, version: u64) -> Result<Rules> {
    let mut rules = Rules::default();
    for customer in ["totara", "botez"] {
        let name: RuleName = format!("customer.{customer}").parse()?;
        rules.insert(
            name,
            Rule::Customer(Customer {
                rate: Rate::per_second(20),
                burst: 40,
                weight: 1,
                batch: BatchCharge::Free,
            }),
        );
        let key: SecretKey = format!("clem_{customer}").parse()?;
        let name: RuleName = format!("key.{customer}-1").parse()?;
        rules.insert(
            name,
            Rule::Key(Key {
                customer: customer.parse()?,
                hash: key.hash(),
            }),
        );
    }
    let assistant = Backend::Model {
        model: "assistant-7b".parse()?,
        version: ModelVersion(3),
        adapter: None,
    };
    let waitlist = Backend::Service("waitlist".parse()?);
    for (name, backend, open) in [
        ("assistant", assistant, false),
        ("waitlist", waitlist.clone(), false),
        ("hours", waitlist, true),
    ] {
        let rule = Route {
            backend,
            open,
            idempotent: name != "waitlist",
            timeout: Duration::from_secs(60),
        };
        rules.insert(format!("route.{name}").parse()?, Rule::Route(rule));
    }
    let service = (kind == "service")
        .then(|| "waitlist".parse())
        .transpose()?;
    rules.insert(
        "target.t1".parse()?,
        Rule::Target(Target {
            address: target,
            data_centre: "tamaki-a".parse()?,
            checks_fence: false,
            service,
        }),
    );
    Ok(rules.with_version(Version(version)))
}

fn strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
