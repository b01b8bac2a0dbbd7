//! A call that was executed and whose reply can't be sent.

use std::{net::SocketAddr, time::Duration};

use clem_wire::{Client, FleetSecret, answer, fleet::Ping};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait, conn::Acceptor,
};
use serde::{Serialize, Serializer, ser::Error};

/// A reply that can't be encoded.
struct Unsendable;

impl Serialize for Unsendable {
    fn serialize<S: Serializer>(&self, _serializer: S) -> Result<S::Ok, S::Error> {
        Err(S::Error::custom("it has no form on the wire"))
    }
}

struct Executed;

#[async_trait]
impl Handler for Executed {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        answer(res, &Unsendable);
    }
}

async fn start_server() -> SocketAddr {
    let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(socket.expect("a free port"));
    let acceptor = acceptor.expect("an acceptor");
    let address = acceptor.holdings()[0].local_addr.clone().into_std();
    tokio::spawn(Server::new(acceptor).serve(Router::with_path("{**}").post(Executed)));
    address.expect("an address of this machine")
}

#[tokio::test]
async fn a_call_whose_reply_cannot_be_sent_does_not_count_as_not_run() {
    let address = start_server().await;
    let client = Client::new(FleetSecret::new("a-secret-for-these-tests").expect("long enough"));
    let called = client
        .call(address, &Ping {}, Duration::from_secs(20))
        .await;
    let error = called.expect_err("it has no reply");
    assert!(!error.is_not_run(), "{error}");
}
