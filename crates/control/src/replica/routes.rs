//! HTTP handlers for the calls between members.

use std::sync::Arc;

use clem_wire::{Call, answer, read_call};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::{
    calls::{
        Depart, DepartReply, Exchange, ExchangeReply, Group, Hello, HelloReply, Join, JoinReply,
        Membership, SnapshotPage,
    },
    install_snapshot,
    outbox::Lane,
    shared::Shared,
};

/// Approximate maximum size of the messages in a reply.
const REPLY_BYTES: usize = 1024 * 1024;

/// The routes of all calls between members.
pub(super) fn routes(shared: &Arc<Shared>) -> Vec<Router> {
    vec![
        Router::with_path(Exchange::PATH).post(OnExchange(Arc::clone(shared))),
        Router::with_path(Hello::PATH).post(OnHello(Arc::clone(shared))),
        Router::with_path(Join::PATH).post(OnJoin(Arc::clone(shared))),
        Router::with_path(Depart::PATH).post(OnDepart(Arc::clone(shared))),
        Router::with_path(SnapshotPage::PATH).post(OnSnapshot(Arc::clone(shared))),
    ]
}

struct OnExchange(Arc<Shared>);

#[async_trait]
impl Handler for OnExchange {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(exchange) = read_call::<Exchange>(req, res).await else {
            return;
        };
        let from = exchange.from;
        let taken = receive_exchange(&self.0, exchange);
        if taken {
            self.0.process();
        }
        let messages = match self.0.core().as_mut() {
            // Entries go out on exchanges of this process's own, which notice that they are lost.
            Some(core) if taken => core.take_messages(from, Lane::Signals, REPLY_BYTES),
            Some(_) | None => Vec::new(),
        };
        self.0.work.notify_one();
        answer(res, &ExchangeReply { messages });
    }
}

fn receive_exchange(shared: &Shared, exchange: Exchange) -> bool {
    let now = shared.clock.now();
    let mut core = shared.core();
    let Some(core) = core.as_mut() else {
        return false;
    };
    if core.cluster != exchange.cluster {
        return false;
    }
    for message in exchange.messages {
        core.step(now, message);
    }
    true
}

struct OnHello(Arc<Shared>);

#[async_trait]
impl Handler for OnHello {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(Hello {}) = read_call::<Hello>(req, res).await else {
            return;
        };
        answer(res, &hello(&self.0));
    }
}

fn hello(shared: &Shared) -> HelloReply {
    let mut reply = HelloReply {
        member: shared.member,
        votes: shared.votes,
        predates_group: shared.predates_group,
        group: None,
        leaderless: false,
        known: Vec::new(),
        leader: None,
        committed: None,
    };
    if let Some(core) = shared.core().as_ref() {
        let node = core.node();
        let (at, members) = node.committed_members();
        reply.leader = core.leader();
        reply.leaderless = node.leader().is_none();
        reply.group = Some(Group {
            cluster: core.cluster,
            members: node.members().clone(),
        });
        reply.committed = Some(Membership {
            at,
            members: members.clone(),
        });
    }
    if reply.leader.is_none() {
        reply.known = shared.others();
    }
    reply
}

struct OnJoin(Arc<Shared>);

#[async_trait]
impl Handler for OnJoin {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(join) = read_call::<Join>(req, res).await else {
            return;
        };
        let now = self.0.clock.now();
        let recorded = match self.0.core().as_mut() {
            Some(core) if core.cluster == join.cluster => {
                core.join(now, join.member, &join.address).is_ok()
            }
            Some(_) | None => false,
        };
        self.0.work.notify_one();
        answer(
            res,
            if recorded {
                &JoinReply::Heard
            } else {
                &JoinReply::Refused
            },
        );
    }
}

struct OnDepart(Arc<Shared>);

#[async_trait]
impl Handler for OnDepart {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(depart) = read_call::<Depart>(req, res).await else {
            return;
        };
        let now = self.0.clock.now();
        let reply = match self.0.core().as_mut() {
            Some(core) if core.cluster == depart.cluster => core.depart(now, depart.member),
            Some(_) | None => DepartReply::NotLeader,
        };
        self.0.work.notify_one();
        answer(res, &reply);
    }
}

struct OnSnapshot(Arc<Shared>);

#[async_trait]
impl Handler for OnSnapshot {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(page) = read_call::<SnapshotPage>(req, res).await else {
            return;
        };
        let reply = install_snapshot::receive_page(&self.0, page).await;
        answer(res, &reply);
    }
}
