//! A stand-in for the control leader: it says what the test wants and writes down what it is told.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use clem_checks::Result;
use clem_rules::{Rule, RuleName, Rules};
use clem_types::{FenceNumber, RulesVersion};
use clem_wire::{
    Call, ControlReply, FleetSecret, Guard, answer,
    batch::{
        FinishItems, FinishItemsReply, ItemEnd, LeaseItems, LeaseItemsReply, LeaseRef, LeasedItem,
        Taken,
    },
    online::{ReportCrash, ReportCrashReply},
    read_call,
    sync::{ItemRef, Order, OrderResult, PoisonList, Sync, SyncReply},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};

/// How often a held call looks for news.
const LOOK: Duration = Duration::from_millis(5);

/// What the stand-in says, and what it was told.
#[derive(Debug)]
pub struct Desk {
    pub rules: Rules,
    pub lease_ms: u32,
    /// Whether it answers at all.
    pub answers: bool,
    pub synced: Option<Sync>,
    pub orders: Vec<Order>,
    /// The newest order that has ended.
    pub fence: FenceNumber,
    /// All answers to orders.
    pub results: Vec<OrderResult>,
    pub cancelled: Vec<ItemRef>,
    pub poison: Option<PoisonList>,
    pub items: VecDeque<LeasedItem>,
    pub item_lease_ms: u32,
    /// Leases that must stop at the next renewal.
    pub stop: Vec<LeaseRef>,
    pub leases: Vec<LeaseItems>,
    pub ends: Vec<ItemEnd>,
    pub taken: Taken,
    pub crashes: Vec<ReportCrash>,
}

/// The stand-in.
#[derive(Clone)]
pub struct Control {
    pub address: SocketAddr,
    desk: Arc<Mutex<Desk>>,
}

impl Control {
    /// Serves `rules` on a free port.
    pub async fn start(secret: FleetSecret, rules: Rules) -> Result<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let desk = Arc::new(Mutex::new(Desk {
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
            taken: Taken::Yes,
            crashes: Vec::new(),
        }));
        let control = Self { address, desk };
        let mut router = Router::new().hoop(Guard::new(secret));
        for path in [
            Sync::PATH,
            LeaseItems::PATH,
            FinishItems::PATH,
            ReportCrash::PATH,
        ] {
            let handler = Asked {
                path,
                control: control.clone(),
            };
            router = router.push(Router::with_path(&path[1..]).post(handler));
        }
        let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener)?;
        tokio::spawn(Server::new(acceptor).serve(router));
        Ok(control)
    }

    /// Reads what was told.
    pub fn read<T>(&self, read: impl FnOnce(&Desk) -> T) -> T {
        read(&self.desk.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes what is said.
    pub fn change<T>(&self, change: impl FnOnce(&mut Desk) -> T) -> T {
        change(&mut self.desk.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a new version of the rules in force without `name`.
    pub fn withdraw(&self, name: &str) -> Result<RulesVersion> {
        let name: RuleName = name.parse()?;
        Ok(self.change(|desk| {
            let mut next = Rules::default();
            for (other, rule) in desk.rules.all() {
                if other != name {
                    next.put(other, rule);
                }
            }
            desk.rules = next.with_version(desk.rules.version().next());
            desk.rules.version()
        }))
    }

    /// Puts a new version of the rules in force with a rule more.
    pub fn add(&self, name: &str, rule: Rule) -> Result<()> {
        let name: RuleName = name.parse()?;
        self.change(|desk| {
            let mut next = desk.rules.clone();
            next.put(name, rule);
            desk.rules = next.with_version(desk.rules.version().next());
        });
        Ok(())
    }

    async fn sync(&self, call: Sync) -> SyncReply {
        self.change(|desk| {
            let results = call.report.iter().flat_map(|report| &report.results);
            desk.results.extend(results.cloned());
            desk.synced = Some(call.clone());
        });
        let mut left = Duration::from_millis(u64::from(call.wait_ms));
        while !self.has_news(&call) && !left.is_zero() {
            tokio::time::sleep(LOOK).await;
            left = left.saturating_sub(LOOK);
        }
        while !self.read(|desk| desk.answers) {
            tokio::time::sleep(LOOK).await;
        }
        self.change(|desk| {
            for result in call.report.iter().flat_map(|report| &report.results) {
                desk.orders.retain(|order| order.fence != result.fence);
            }
            SyncReply {
                lease_ms: desk.lease_ms,
                rules: (desk.rules.version() > call.rules).then(|| desk.rules.whole()),
                fleet: None,
                poison: desk
                    .poison
                    .clone()
                    .filter(|list| list.version > call.poison),
                fence: desk.fence,
                orders: desk.orders.clone(),
                cancelled: desk.cancelled.clone(),
            }
        })
    }

    fn has_news(&self, call: &Sync) -> bool {
        self.read(|desk| {
            desk.rules.version() > call.rules
                || !desk.orders.is_empty()
                || !desk.cancelled.is_empty()
                || desk
                    .poison
                    .as_ref()
                    .is_some_and(|list| list.version > call.poison)
        })
    }

    async fn lease(&self, call: LeaseItems) -> LeaseItemsReply {
        while !self.read(|desk| desk.answers) {
            tokio::time::sleep(LOOK).await;
        }
        self.change(|desk| {
            let count = desk.items.len().min(call.room as usize);
            let items: Vec<_> = desk.items.drain(..count).collect();
            let stop = desk.stop.clone();
            let lease_ms = desk.item_lease_ms;
            desk.leases.push(call);
            LeaseItemsReply {
                items,
                lease_ms,
                stop,
            }
        })
    }

    async fn finish(&self, call: FinishItems) -> FinishItemsReply {
        while !self.read(|desk| desk.answers) {
            tokio::time::sleep(LOOK).await;
        }
        self.change(|desk| {
            let taken = vec![desk.taken; call.ends.len()];
            desk.ends.extend(call.ends);
            FinishItemsReply { taken }
        })
    }

    fn crash(&self, call: ReportCrash) -> ReportCrashReply {
        self.change(|desk| {
            let verdicts = vec![None; call.requests.len()];
            desk.crashes.push(call);
            ReportCrashReply { verdicts }
        })
    }
}

struct Asked {
    path: &'static str,
    control: Control,
}

#[async_trait]
impl Handler for Asked {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let control = &self.control;
        match self.path {
            Sync::PATH => {
                if let Some(call) = read_call::<Sync>(req, res).await {
                    answer(res, &ControlReply::Done(control.sync(call).await));
                }
            }
            LeaseItems::PATH => {
                if let Some(call) = read_call::<LeaseItems>(req, res).await {
                    answer(res, &ControlReply::Done(control.lease(call).await));
                }
            }
            FinishItems::PATH => {
                if let Some(call) = read_call::<FinishItems>(req, res).await {
                    answer(res, &ControlReply::Done(control.finish(call).await));
                }
            }
            _ => {
                if let Some(call) = read_call::<ReportCrash>(req, res).await {
                    answer(res, &ControlReply::Done(control.crash(call)));
                }
            }
        }
    }
}
