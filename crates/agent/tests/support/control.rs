//! A fake control leader: returns scripted replies and records the calls it receives.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use clem_checks::Result;
use clem_rules::{Rule, RuleName, Rules};
use clem_types::{FenceNumber, Version};
use clem_wire::{
    Call, FleetSecret, Guard, LeaderReply, answer,
    batch::{
        FinishItems, FinishItemsReply, FinishedAttempt, LeaseItems, LeaseItemsReply, LeaseRef,
        LeasedItem, Recorded,
    },
    online::{ReportCrash, ReportCrashReply},
    read_call,
    sync::{ItemRef, Order, OrderResult, PoisonList, Sync, SyncReply},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};

/// Interval at which a held call checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The scripted replies and the recorded calls.
#[derive(Debug)]
pub struct ControlState {
    pub rules: Rules,
    pub lease_ms: u32,
    /// Whether calls are answered; if false, they are held.
    pub answers: bool,
    pub synced: Option<Sync>,
    pub orders: Vec<Order>,
    /// Fence number of the newest order that has ended.
    pub fence: FenceNumber,
    /// All results of orders.
    pub results: Vec<OrderResult>,
    pub cancelled: Vec<ItemRef>,
    pub poison: Option<PoisonList>,
    pub items: VecDeque<LeasedItem>,
    pub item_lease_ms: u32,
    /// Leases that must stop at the next renewal.
    pub stop: Vec<LeaseRef>,
    pub leases: Vec<LeaseItems>,
    pub ends: Vec<FinishedAttempt>,
    pub recorded: Recorded,
    pub crashes: Vec<ReportCrash>,
}

/// Handle to the fake control leader.
#[derive(Clone)]
pub struct FakeControl {
    pub address: SocketAddr,
    state: Arc<Mutex<ControlState>>,
}

impl FakeControl {
    /// Starts the server on a free port, with these rules.
    pub async fn start(secret: FleetSecret, rules: Rules) -> Result<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ControlState {
            rules,
            lease_ms: 3000,
            answers: true,
            synced: None,
            orders: Vec::new(),
            fence: FenceNumber(0),
            results: Vec::new(),
            cancelled: Vec::new(),
            poison: None,
            items: VecDeque::new(),
            item_lease_ms: 3000,
            stop: Vec::new(),
            leases: Vec::new(),
            ends: Vec::new(),
            recorded: Recorded::Yes,
            crashes: Vec::new(),
        }));
        let control = Self { address, state };
        let mut router = Router::new().hoop(Guard::new(secret));
        for path in [
            Sync::PATH,
            LeaseItems::PATH,
            FinishItems::PATH,
            ReportCrash::PATH,
        ] {
            let handler = ControlHandler {
                path,
                control: control.clone(),
            };
            router = router.push(Router::with_path(&path[1..]).post(handler));
        }
        let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener)?;
        tokio::spawn(Server::new(acceptor).serve(router));
        Ok(control)
    }

    /// Reads the state under its lock.
    pub fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        read(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the state under its lock.
    pub fn change<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Publishes a new version of the rules without `name`.
    pub fn withdraw(&self, name: &str) -> Result<Version> {
        let name: RuleName = name.parse()?;
        Ok(self.change(|state| {
            let mut next = Rules::default();
            for (other, rule) in state.rules.all() {
                if other != name {
                    next.insert(other, rule);
                }
            }
            state.rules = next.with_version(state.rules.version().next());
            state.rules.version()
        }))
    }

    /// Publishes a new version of the rules with one more rule.
    pub fn add(&self, name: &str, rule: Rule) -> Result<()> {
        let name: RuleName = name.parse()?;
        self.change(|state| {
            let mut next = state.rules.clone();
            next.insert(name, rule);
            state.rules = next.with_version(state.rules.version().next());
        });
        Ok(())
    }

    async fn sync(&self, call: Sync) -> SyncReply {
        self.change(|state| {
            let results = call.report.iter().flat_map(|report| &report.results);
            state.results.extend(results.cloned());
            state.synced = Some(call.clone());
        });
        let mut left = Duration::from_millis(u64::from(call.wait_ms));
        while !self.has_changes(&call) && !left.is_zero() {
            tokio::time::sleep(POLL_INTERVAL).await;
            left = left.saturating_sub(POLL_INTERVAL);
        }
        while !self.read(|state| state.answers) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.change(|state| {
            for result in call.report.iter().flat_map(|report| &report.results) {
                state.orders.retain(|order| order.fence != result.fence);
            }
            SyncReply {
                lease_ms: state.lease_ms,
                rules: (state.rules.version() > call.rules).then(|| state.rules.full_delta()),
                fleet: None,
                poison: state
                    .poison
                    .clone()
                    .filter(|list| list.version > call.poison),
                fence: state.fence,
                orders: state.orders.clone(),
                cancelled: state.cancelled.clone(),
            }
        })
    }

    fn has_changes(&self, call: &Sync) -> bool {
        self.read(|state| {
            state.rules.version() > call.rules
                || !state.orders.is_empty()
                || !state.cancelled.is_empty()
                || state
                    .poison
                    .as_ref()
                    .is_some_and(|list| list.version > call.poison)
        })
    }

    async fn lease(&self, call: LeaseItems) -> LeaseItemsReply {
        while !self.read(|state| state.answers) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.change(|state| {
            let count = state.items.len().min(call.room as usize);
            let items: Vec<_> = state.items.drain(..count).collect();
            let stop = state.stop.clone();
            let lease_ms = state.item_lease_ms;
            state.leases.push(call);
            LeaseItemsReply {
                items,
                lease_ms,
                stop,
            }
        })
    }

    async fn finish(&self, call: FinishItems) -> FinishItemsReply {
        while !self.read(|state| state.answers) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.change(|state| {
            let recorded = vec![state.recorded; call.ends.len()];
            state.ends.extend(call.ends);
            FinishItemsReply { recorded }
        })
    }

    fn crash(&self, call: ReportCrash) -> ReportCrashReply {
        self.change(|state| {
            let verdicts = vec![None; call.requests.len()];
            state.crashes.push(call);
            ReportCrashReply { verdicts }
        })
    }
}

struct ControlHandler {
    path: &'static str,
    control: FakeControl,
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let control = &self.control;
        match self.path {
            Sync::PATH => {
                if let Some(call) = read_call::<Sync>(req, res).await {
                    answer(res, &LeaderReply::Done(control.sync(call).await));
                }
            }
            LeaseItems::PATH => {
                if let Some(call) = read_call::<LeaseItems>(req, res).await {
                    answer(res, &LeaderReply::Done(control.lease(call).await));
                }
            }
            FinishItems::PATH => {
                if let Some(call) = read_call::<FinishItems>(req, res).await {
                    answer(res, &LeaderReply::Done(control.finish(call).await));
                }
            }
            _ => {
                if let Some(call) = read_call::<ReportCrash>(req, res).await {
                    answer(res, &LeaderReply::Done(control.crash(call)));
                }
            }
        }
    }
}
