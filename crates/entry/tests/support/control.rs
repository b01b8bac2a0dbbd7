//! A mock control process without replication; tests change its state directly.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use clem_boot::Clock;
use clem_policy::bucket::{Buckets, GRANT_TTL, Limit, TokenRequest};
use clem_rules::{Backend, Customer, Key, Route, Rule, Rules};
use clem_types::{CustomerId, Key as SecretKey, Rate, RequestId, RouteId, Version};
use clem_wire::{
    Call, Guard, LeaderReply, answer,
    batch::{
        BatchBegin, BatchBeginReply, BatchChunk, BatchChunkReply, BatchSeal, BatchSealReply, Item,
    },
    online::{
        Grant, OnceBegin, OnceBeginReply, OnceFinish, OnceFinishReply, OnceOutcome, TakeTokens,
        TakeTokensReply,
    },
    read_call,
    sync::{FleetChange, FleetStamp, PoisonList, Sync, SyncReply, TargetView},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::{secret, serve};

pub const KEY: &str = "clem_00000000000000000000000000000001";

/// The state of the mock.
pub struct State {
    pub rules: Rules,
    pub fleet: Vec<TargetView>,
    pub fleet_change: u64,
    pub poison: PoisonList,
    pub lease_ms: u32,
    /// Whether the mock answers; otherwise calls hang, as behind a network partition.
    pub up: bool,
    pub buckets: Buckets,
    pub once: HashMap<String, (RequestId, Option<OnceOutcome>)>,
    pub chunks: Vec<Vec<Item>>,
    /// Whether chunks are stored or only counted in `items`.
    pub keep_chunks: bool,
    pub items: usize,
    pub sealed: Option<BatchSeal>,
    pub token_calls: u32,
}

#[derive(Clone)]
pub struct Control {
    state: Arc<Mutex<State>>,
    clock: Clock,
    pub address: SocketAddr,
}

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("an id")
}

fn route(backend: Backend, open: bool, idempotent: bool) -> Rule {
    let timeout = Duration::from_secs(20);
    Rule::Route(Route {
        backend,
        open,
        idempotent,
        timeout,
    })
}

pub fn model() -> Backend {
    Backend::Model {
        model: id("assistant-7b"),
        version: id("3"),
        adapter: None,
    }
}

/// The example rules of the test fleet, with a key for each customer.
pub fn rules(version: u64) -> Rules {
    let mut rules = Rules::default();
    let customer = |rate, burst| {
        let rate = Rate::per_second(rate);
        Rule::Customer(Customer {
            rate,
            burst,
            weight: 1,
            batch: Default::default(),
        })
    };
    rules.insert(id("customer.totara"), customer(200, 400));
    rules.insert(id("customer.botez"), customer(2, 4));
    let key = |customer: &str, key: &str| {
        let hash = key.parse::<SecretKey>().expect("a key").hash();
        Rule::Key(Key {
            customer: id(customer),
            hash,
        })
    };
    rules.insert(id("key.totara-1"), key("totara", KEY));
    rules.insert(
        id("key.botez-1"),
        key("botez", "clem_00000000000000000000000000000002"),
    );
    rules.insert(id("route.assistant"), route(model(), false, true));
    let service = |name: &str| Backend::Service(id(name));
    rules.insert(
        id("route.waitlist"),
        route(service("waitlist"), false, false),
    );
    rules.insert(id("route.hours"), route(service("hours"), true, true));
    rules.with_version(Version(version))
}

impl Control {
    pub async fn start() -> Self {
        let clock = Clock::start();
        let state = State {
            rules: rules(1),
            fleet: Vec::new(),
            fleet_change: 0,
            poison: PoisonList::default(),
            lease_ms: 2000,
            up: true,
            buckets: Buckets::new(clock.now()),
            once: HashMap::new(),
            chunks: Vec::new(),
            keep_chunks: true,
            items: 0,
            sealed: None,
            token_calls: 0,
        };
        let mut control = Self {
            state: Arc::new(Mutex::new(state)),
            clock,
            address: ([127, 0, 0, 1], 0).into(),
        };
        let mut router = Router::new().hoop(Guard::new(secret()));
        for path in [
            Sync::PATH,
            TakeTokens::PATH,
            OnceBegin::PATH,
            OnceFinish::PATH,
            BatchBegin::PATH,
            BatchChunk::PATH,
            BatchSeal::PATH,
        ] {
            router = router.push(Router::with_path(&path[1..]).post(control.clone()));
        }
        control.address = serve(router).await;
        control
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    pub fn set_fleet(&self, fleet: Vec<TargetView>) {
        let mut state = self.state();
        state.fleet = fleet;
        state.fleet_change += 1;
    }

    async fn sync(&self, call: Sync) -> SyncReply {
        let end = self.clock.now() + Duration::from_millis(call.wait_ms.into());
        while self.clock.now() < end && !self.has_changes(&call) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let state = self.state();
        let stamp = FleetStamp {
            epoch: id("1"),
            change: state.fleet_change,
        };
        SyncReply {
            lease_ms: state.lease_ms,
            rules: (call.rules != state.rules.version()).then(|| state.rules.full_delta()),
            fleet: (call.fleet != stamp).then(|| FleetChange {
                stamp,
                whole: true,
                targets: state.fleet.clone(),
                gone: Vec::new(),
            }),
            poison: (call.poison != state.poison.version).then(|| state.poison.clone()),
            orders: Vec::new(),
            fence: clem_types::FenceNumber(0),
            cancelled: Vec::new(),
        }
    }

    fn has_changes(&self, call: &Sync) -> bool {
        let state = self.state();
        call.rules != state.rules.version()
            || call.fleet.change != state.fleet_change
            || call.poison != state.poison.version
    }

    fn tokens(&self, call: &TakeTokens) -> TakeTokensReply {
        let now = self.clock.now();
        let mut state = self.state();
        state.token_calls += 1;
        let requests: Vec<TokenRequest> = call
            .wants
            .iter()
            .map(|want| TokenRequest {
                customer: want.customer.clone(),
                tokens: want.tokens,
                returned: want.returned,
                held: want.held,
            })
            .collect();
        let rules = state.rules.clone();
        let limit = |customer: &CustomerId| {
            let customer = rules.customers().get(customer)?;
            Some(Limit {
                rate: customer.rate,
                burst: customer.burst,
            })
        };
        let holder = (call.holder.clone(), call.incarnation);
        let granted = state
            .buckets
            .take(now, holder, call.sequence, &requests, limit);
        let grants = granted
            .iter()
            .zip(&call.wants)
            .map(|(grant, want)| Grant {
                customer: want.customer.clone(),
                tokens: grant.tokens,
                expires_ms: GRANT_TTL.as_millis() as u32,
                retry_ms: grant.retry_ms,
                settling: grant.settling,
            })
            .collect();
        TakeTokensReply { grants }
    }

    fn begin(&self, call: &OnceBegin) -> OnceBeginReply {
        let mut state = self.state();
        match state.once.get(&call.key) {
            Some((request, None)) if *request == call.request => OnceBeginReply::Go,
            Some((_, Some(OnceOutcome::Done(result)))) => OnceBeginReply::Done(result.clone()),
            Some(_) => OnceBeginReply::Unknown,
            None => {
                state.once.insert(call.key.clone(), (call.request, None));
                OnceBeginReply::Go
            }
        }
    }

    fn finish(&self, call: OnceFinish) -> OnceFinishReply {
        let mut state = self.state();
        if call.outcome == OnceOutcome::NotRun {
            state.once.remove(&call.key);
        } else {
            state
                .once
                .insert(call.key, (call.request, Some(call.outcome)));
        }
        OnceFinishReply {}
    }
}

/// Parses the id of a route.
pub fn route_id(name: &str) -> RouteId {
    id(name)
}

macro_rules! reply {
    ($req:ident, $res:ident, $call:ty, $work:expr) => {
        if let Some(call) = read_call::<$call>($req, $res).await {
            let reply = $work(call);
            answer($res, &LeaderReply::Done(reply));
        }
    };
}

#[async_trait]
impl Handler for Control {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if !self.state().up {
            // Leaves the call without an answer, as a partitioned process does.
            std::future::pending::<()>().await;
        }
        match req.uri().path() {
            Sync::PATH => {
                if let Some(call) = read_call::<Sync>(req, res).await {
                    let reply = self.sync(call).await;
                    if !self.state().up {
                        std::future::pending::<()>().await;
                    }
                    answer(res, &LeaderReply::Done(reply));
                }
            }
            TakeTokens::PATH => reply!(req, res, TakeTokens, |call| self.tokens(&call)),
            OnceBegin::PATH => reply!(req, res, OnceBegin, |call| self.begin(&call)),
            OnceFinish::PATH => reply!(req, res, OnceFinish, |call| self.finish(call)),
            BatchBegin::PATH => reply!(req, res, BatchBegin, |call: BatchBegin| {
                BatchBeginReply::Send {
                    batch: call.batch,
                    upload: 1,
                }
            }),
            BatchChunk::PATH => reply!(req, res, BatchChunk, |call: BatchChunk| {
                let mut state = self.state();
                state.items += call.items.len();
                if state.keep_chunks {
                    state.chunks.push(call.items);
                }
                BatchChunkReply::Kept
            }),
            BatchSeal::PATH => reply!(req, res, BatchSeal, |call: BatchSeal| {
                let batch = call.batch;
                self.state().sealed = Some(call);
                BatchSealReply::Accepted { batch }
            }),
            path => panic!("no such call: {path}"),
        }
    }
}
