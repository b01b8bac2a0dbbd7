//! Addresses of a group at which another process answers.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use clem_wire::{
    CallError, Client, FleetSecret, Guard, LeaderClient, LeaderReply, answer, fleet::Ping,
};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait, conn::Acceptor,
    http::StatusCode,
};
use tokio::{io::AsyncReadExt, net::TcpListener};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Far below the time of a call, and above what a few exchanges on loopback take.
const SOON: Duration = Duration::from_secs(1);

/// What a process answers to each call.
#[derive(Debug, Clone)]
enum Process {
    Status(StatusCode),
    Leads,
    Follows(SocketAddr),
}

struct Counted {
    process: Process,
    calls: Arc<AtomicU32>,
}

#[async_trait]
impl Handler for Counted {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _ = req.payload().await;
        self.calls.fetch_add(1, Ordering::Relaxed);
        match &self.process {
            Process::Status(status) => {
                res.status_code(*status);
            }
            Process::Leads => answer(res, &LeaderReply::Done(())),
            Process::Follows(leader) => {
                let reply = LeaderReply::<()>::NotLeader {
                    leader: Some(*leader),
                    brief: None,
                };
                answer(res, &reply);
            }
        }
    }
}

struct Started {
    address: SocketAddr,
    calls: Arc<AtomicU32>,
}

impl Started {
    fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }
}

async fn bind(last: u8) -> TcpListener {
    let ip = Ipv4Addr::new(127, 0, 6, last);
    TcpListener::bind((ip, 0)).await.expect("a free port")
}

async fn serve(last: u8, router: Router) -> SocketAddr {
    let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(bind(last).await);
    let acceptor = acceptor.expect("an acceptor");
    let address = acceptor.holdings()[0].local_addr.clone().into_std();
    tokio::spawn(Server::new(acceptor).serve(router));
    address.expect("an address of this machine")
}

async fn start(last: u8, process: Process) -> Started {
    let calls = Arc::new(AtomicU32::new(0));
    let handler = Counted {
        process,
        calls: Arc::clone(&calls),
    };
    let address = serve(last, Router::with_path("{**}").post(handler)).await;
    Started { address, calls }
}

/// A process that is gone: its address refuses connections.
async fn gone(last: u8) -> SocketAddr {
    let socket = bind(last).await;
    socket.local_addr().expect("a bound port")
}

/// A member that takes each call and ends the connection without an answer.
async fn start_broken(last: u8) -> SocketAddr {
    let socket = bind(last).await;
    let address = socket.local_addr().expect("a bound port");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
        }
    });
    address
}

fn secret(text: &str) -> FleetSecret {
    FleetSecret::new(text).expect("long enough")
}

fn client(members: &[SocketAddr]) -> LeaderClient {
    let secret = secret("a-secret-for-these-tests");
    LeaderClient::new(Client::new(secret), members.to_vec())
}

fn status(error: &CallError) -> Option<u16> {
    match error {
        CallError::Refused { status, .. } => Some(*status),
        _ => None,
    }
}

#[tokio::test]
async fn calls_reach_the_leader_past_a_process_that_is_not_of_the_group() {
    for code in [
        StatusCode::NOT_FOUND,
        StatusCode::UNAUTHORIZED,
        StatusCode::FORBIDDEN,
        StatusCode::SERVICE_UNAVAILABLE,
    ] {
        let outside = start(1, Process::Status(code)).await;
        let leader = start(2, Process::Leads).await;
        let group = client(&[outside.address, leader.address]);
        let mut replies = Vec::new();
        for _ in 0..3 {
            let reply = group.call(&Ping {}, TIMEOUT).await;
            replies.push(reply.map_err(|error| error.to_string()));
        }
        assert_eq!(replies, [Ok(()), Ok(()), Ok(())], "{code}");
        assert_eq!((outside.calls(), leader.calls()), (1, 3), "{code}");
    }
}

#[tokio::test]
async fn a_leader_that_is_asked_once_is_found_past_a_process_that_is_not_of_the_group() {
    let outside = start(11, Process::Status(StatusCode::NOT_FOUND)).await;
    let leader = start(12, Process::Leads).await;
    let group = client(&[outside.address, leader.address]);
    let reply = group.ask_leader(&Ping {}, TIMEOUT).await;
    assert_eq!(reply.map_err(|error| error.to_string()), Ok(()));
    assert_eq!((outside.calls(), leader.calls()), (1, 1));
}

/// Another fleet's process rejects the secret by the same guard as the group's own.
#[tokio::test]
async fn a_process_of_another_fleet_does_not_end_a_call() {
    let guard = Guard::new(secret("the-secret-of-another-fleet"));
    let calls = Arc::new(AtomicU32::new(0));
    let handler = Counted {
        process: Process::Leads,
        calls: Arc::clone(&calls),
    };
    let router = Router::with_path("{**}").hoop(guard).post(handler);
    let other = serve(21, router).await;
    let leader = start(22, Process::Leads).await;
    let group = client(&[other, leader.address]);
    let reply = group.call(&Ping {}, TIMEOUT).await;
    assert_eq!(reply.map_err(|error| error.to_string()), Ok(()));
    assert_eq!((calls.load(Ordering::Relaxed), leader.calls()), (0, 1));
}

/// Guards against a call that goes back and forth between the two and passes over the leader.
#[tokio::test]
async fn a_follower_that_names_a_process_outside_the_group_does_not_hide_the_leader() {
    let outside = start(31, Process::Status(StatusCode::NOT_FOUND)).await;
    let follower = start(32, Process::Follows(outside.address)).await;
    let leader = start(33, Process::Leads).await;
    let members = [follower.address, leader.address];
    for ask in [false, true] {
        let group = client(&members);
        group.note_elected(Some(outside.address));
        let reply = if ask {
            group.ask_leader(&Ping {}, TIMEOUT).await
        } else {
            group.call(&Ping {}, TIMEOUT).await
        };
        assert_eq!(reply.map_err(|error| error.to_string()), Ok(()));
    }
    assert_eq!(
        (outside.calls(), follower.calls(), leader.calls()),
        (2, 2, 2)
    );
}

#[tokio::test]
async fn a_call_ends_with_the_refusal_once_all_known_processes_are_outside_the_group() {
    for ask in [false, true] {
        let first = start(41, Process::Status(StatusCode::NOT_FOUND)).await;
        let second = start(42, Process::Status(StatusCode::FORBIDDEN)).await;
        let group = client(&[first.address, second.address]);
        let begun = Instant::now();
        let reply = if ask {
            group.ask_leader(&Ping {}, TIMEOUT).await
        } else {
            group.call(&Ping {}, TIMEOUT).await
        };
        let error = reply.expect_err("nobody leads");
        assert_eq!(status(&error), Some(403), "{error}");
        assert!(error.is_not_run());
        assert!(begun.elapsed() < SOON, "{:?}", begun.elapsed());
        assert_eq!((first.calls(), second.calls()), (1, 1));
    }
}

#[tokio::test]
async fn a_refusal_by_the_leader_is_final() {
    for code in [StatusCode::BAD_REQUEST, StatusCode::PAYLOAD_TOO_LARGE] {
        for ask in [false, true] {
            let leader = start(51, Process::Status(code)).await;
            let other = start(52, Process::Leads).await;
            let group = client(&[leader.address, other.address]);
            let reply = if ask {
                group.ask_leader(&Ping {}, TIMEOUT).await
            } else {
                group.call(&Ping {}, TIMEOUT).await
            };
            let error = reply.expect_err("it refuses");
            assert_eq!(status(&error), Some(code.as_u16()), "{error}");
            assert_eq!((leader.calls(), other.calls()), (1, 0), "{code}");
        }
    }
}

#[tokio::test]
async fn a_process_outside_the_group_does_not_deny_an_earlier_try_that_may_have_arrived() {
    let broken = start_broken(61).await;
    let outside = start(62, Process::Status(StatusCode::NOT_FOUND)).await;
    let group = client(&[broken, outside.address]);
    let error = group.call(&Ping {}, SOON).await;
    let error = error.expect_err("nobody leads");
    assert!(!error.is_not_run(), "{error}");
    let leader = start(63, Process::Leads).await;
    let group = client(&[broken, outside.address, leader.address]);
    let reply = group.call(&Ping {}, TIMEOUT).await;
    assert_eq!(reply.map_err(|error| error.to_string()), Ok(()));
}

/// Guards against a busy loop while the group's own processes are gone.
#[tokio::test]
async fn a_call_that_waits_for_its_group_tells_who_is_outside_it() {
    let outside = start(71, Process::Status(StatusCode::NOT_FOUND)).await;
    let members = [outside.address, gone(72).await];
    let error = client(&members).call(&Ping {}, SOON).await;
    let error = error.expect_err("nobody leads");
    assert!(error.is_not_run(), "{error}");
    let asked = error.asked().expect("no leader").to_string();
    let calls = outside.calls();
    assert!(asked.starts_with(&format!("71=w{calls} 72=x")), "{asked}");
    // Two rounds may begin with it twice each, and each is followed by a pause of 50 ms.
    assert!((2..=40).contains(&calls), "{calls} calls");
}
