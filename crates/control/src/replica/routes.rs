//! The paths at which members reach each other.

use std::sync::Arc;

use clem_wire::{Call, answer, read_call};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::{
    calls::{CopyPage, Exchange, ExchangeReply, Group, Hello, HelloReply, Join, JoinReply},
    install,
    shared::Shared,
};

/// About how many bytes of messages a reply brings back.
const REPLY_BYTES: usize = 1024 * 1024;

/// The paths at which members reach each other.
pub(super) fn routes(shared: &Arc<Shared>) -> Vec<Router> {
    vec![
        Router::with_path(Exchange::PATH).post(OnExchange(Arc::clone(shared))),
        Router::with_path(Hello::PATH).post(OnHello(Arc::clone(shared))),
        Router::with_path(Join::PATH).post(OnJoin(Arc::clone(shared))),
        Router::with_path(CopyPage::PATH).post(OnCopy(Arc::clone(shared))),
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
        let taken = take_exchange(&self.0, exchange);
        if taken {
            self.0.round();
        }
        let messages = match self.0.seat().as_mut() {
            Some(seat) if taken => seat.take_messages(from, REPLY_BYTES),
            Some(_) | None => Vec::new(),
        };
        self.0.work.notify_one();
        answer(res, &ExchangeReply { messages });
    }
}

fn take_exchange(shared: &Shared, exchange: Exchange) -> bool {
    let now = shared.clock.now();
    let mut seat = shared.seat();
    let Some(seat) = seat.as_mut() else {
        return false;
    };
    if seat.cluster != exchange.cluster {
        return false;
    }
    for message in exchange.messages {
        seat.step(now, message);
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
        let group = self.0.seat().as_ref().map(|seat| Group {
            cluster: seat.cluster,
            members: seat.node().members().clone(),
        });
        answer(
            res,
            &HelloReply {
                member: self.0.member,
                votes: self.0.votes,
                group,
            },
        );
    }
}

struct OnJoin(Arc<Shared>);

#[async_trait]
impl Handler for OnJoin {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(join) = read_call::<Join>(req, res).await else {
            return;
        };
        let now = self.0.clock.now();
        let heard = match self.0.seat().as_mut() {
            Some(seat) if seat.cluster == join.cluster => {
                seat.join(now, join.member, &join.address).is_ok()
            }
            Some(_) | None => false,
        };
        self.0.work.notify_one();
        answer(
            res,
            if heard {
                &JoinReply::Heard
            } else {
                &JoinReply::Refused
            },
        );
    }
}

struct OnCopy(Arc<Shared>);

#[async_trait]
impl Handler for OnCopy {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(page) = read_call::<CopyPage>(req, res).await else {
            return;
        };
        let reply = install::take_page(&self.0, page).await;
        answer(res, &reply);
    }
}
