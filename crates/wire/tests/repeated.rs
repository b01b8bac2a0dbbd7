//! A call that is sent again because its first try may have arrived.

use std::{net::SocketAddr, time::Duration};

use clem_edge::BatchSpec;
use clem_types::Version;
use clem_wire::{
    CallError, Client, FleetSecret, LeaderClient, LeaderReply, answer,
    jobs::{JobOptions, SubmitJob, SubmitReply},
};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait, conn::Acceptor,
    http::StatusCode,
};
use tokio::{io::AsyncReadExt, net::TcpListener};

const TIMEOUT: Duration = Duration::from_secs(5);

/// What a member answers to each call.
#[derive(Debug, Clone, Copy)]
enum Member {
    /// An error status: it can't read the call.
    Refuses,
    /// As the leader.
    Replies(SubmitReply),
}

#[async_trait]
impl Handler for Member {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _ = req.payload().await;
        match self {
            Self::Refuses => {
                res.status_code(StatusCode::BAD_REQUEST);
            }
            Self::Replies(reply) => answer(res, &LeaderReply::Done(*reply)),
        }
    }
}

async fn start_member(member: Member) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await;
    let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(socket.expect("a free port"));
    let acceptor = acceptor.expect("an acceptor");
    let address = acceptor.holdings()[0].local_addr.clone().into_std();
    tokio::spawn(Server::new(acceptor).serve(Router::with_path("{**}").post(member)));
    address.expect("an address of this machine")
}

/// A member that takes each call and ends the connection without an answer.
async fn start_broken_member() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("a bound port");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
        }
    });
    address
}

async fn submit(members: Vec<SocketAddr>) -> Result<SubmitReply, CallError> {
    let secret = FleetSecret::new("a-secret-for-these-tests").expect("long enough");
    let client = LeaderClient::new(Client::new(secret), members);
    let call = SubmitJob {
        customer: "one".to_owned(),
        spec: BatchSpec {
            id: "b".to_owned(),
            items: Vec::new(),
        },
        options: JobOptions {
            route: "r".to_owned(),
            host: "h".to_owned(),
            service: "s".to_owned(),
            rules: Version(1),
            rank: 0,
            due: TIMEOUT,
            keep: TIMEOUT,
            attempts: 1,
            token_cap: 1,
        },
    };
    client.call(&call, TIMEOUT).await
}

#[tokio::test]
async fn an_error_status_does_not_deny_an_earlier_try_that_may_have_arrived() {
    let member = start_member(Member::Refuses).await;
    let error = submit(vec![member]).await.expect_err("it refuses");
    assert!(error.is_not_run(), "{error}");
    let members = vec![start_broken_member().await, member];
    let error = submit(members).await.expect_err("it refuses");
    assert!(!error.is_not_run(), "{error}");
}

#[tokio::test]
async fn a_refusal_does_not_deny_an_earlier_try_that_may_have_arrived() {
    for reply in [SubmitReply::Full, SubmitReply::NoRoom] {
        let member = start_member(Member::Replies(reply)).await;
        assert_eq!(submit(vec![member]).await.ok(), Some(reply));
        let members = vec![start_broken_member().await, member];
        let error = submit(members).await.expect_err("the first try may arrive");
        assert!(!error.is_not_run(), "{error}");
    }
    let member = start_member(Member::Replies(SubmitReply::Accepted)).await;
    let members = vec![start_broken_member().await, member];
    assert_eq!(submit(members).await.ok(), Some(SubmitReply::Accepted));
}
