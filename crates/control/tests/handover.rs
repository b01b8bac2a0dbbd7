//! A planned stop of the leader leaves the group with another one.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

use std::{net::SocketAddr, time::Duration};

use clem_boot::{Clock, Listener, acceptor, listen};
use clem_control::replica::{RESERVE_BYTES, Replica, ReplicaSettings};
use clem_wire::{FleetSecret, Guard};
use salvo::{Router, Server};
use tempfile::TempDir;

/// How long the group may take to be founded.
const FOUNDED: Duration = Duration::from_secs(20);

struct Member {
    replica: Replica,
    _folder: TempDir,
}

fn start(listener: Listener, peers: Vec<SocketAddr>) -> Member {
    let folder = TempDir::new().unwrap();
    let secret = FleetSecret::new("handover-test-01").unwrap();
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(folder.path().to_owned()),
        address: listener.address(),
        peers,
        secret: secret.clone(),
        clock: Clock::start(),
        may_found: true,
        reserve_bytes: RESERVE_BYTES,
        pace: clem_log::Settings::default(),
    })
    .unwrap();
    let mut routes = replica.routes();
    let router = Router::new().hoop(Guard::new(secret)).append(&mut routes);
    let server = Server::new(acceptor(listener).unwrap());
    tokio::spawn(server.serve(router));
    Member {
        replica,
        _folder: folder,
    }
}

async fn leader(members: &[Member]) -> &Member {
    let found = async {
        loop {
            for member in members {
                if member.replica.watch().borrow().is_some() {
                    return member;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(FOUNDED, found).await.unwrap()
}

#[tokio::test]
async fn a_leader_that_stops_stays_until_another_one_leads() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listeners: Vec<Listener> = (0..3).map(|_| listen(any).unwrap()).collect();
    let peers: Vec<SocketAddr> = listeners.iter().map(Listener::address).collect();
    let members: Vec<Member> = listeners
        .into_iter()
        .map(|listener| start(listener, peers.clone()))
        .collect();
    let old = leader(&members).await;
    let place = old.replica.leader().unwrap();

    old.replica.hand_over().await;

    let next = old.replica.leader();
    assert!(
        next.is_some_and(|next| next != place),
        "the leader may go although {next:?} leads"
    );
}
