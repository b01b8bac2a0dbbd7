//! Leadership at a planned stop and while the leader's lease briefly expires.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clem_boot::{Clock, Listener, acceptor, listen};
use clem_control::replica::{RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::disk::FileSystem;
use clem_wire::{FleetSecret, Guard};
use salvo::{Router, Server};
use tempfile::TempDir;

/// Timeout for bootstrapping the group.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(20);

struct Member {
    replica: Replica,
    clock: Clock,
    _folder: TempDir,
}

fn start(listener: Listener, peers: Vec<SocketAddr>, consensus: clem_log::Settings) -> Member {
    let folder = TempDir::new().unwrap();
    let clock = Clock::start();
    let secret = FleetSecret::new("handover-test-01").unwrap();
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(folder.path().to_owned()),
        address: listener.address(),
        peers,
        secret: secret.clone(),
        clock,
        bootstrap: true,
        predates_group: false,
        reserve_bytes: RESERVE_BYTES,
        probe: Arc::new(FileSystem),
        consensus,
    })
    .unwrap();
    let mut routes = replica.routes();
    let router = Router::new().hoop(Guard::new(secret)).append(&mut routes);
    let server = Server::new(acceptor(listener).unwrap());
    tokio::spawn(server.serve(router));
    Member {
        replica,
        clock,
        _folder: folder,
    }
}

fn group(consensus: clem_log::Settings) -> Vec<Member> {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listeners: Vec<Listener> = (0..3).map(|_| listen(any).unwrap()).collect();
    let peers: Vec<SocketAddr> = listeners.iter().map(Listener::address).collect();
    let start = |listener| start(listener, peers.clone(), consensus);
    listeners.into_iter().map(start).collect()
}

async fn leader(members: &[Member]) -> &Member {
    let found = async {
        loop {
            for member in members {
                if member.replica.watch_leadership().borrow().is_some() {
                    return member;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(BOOTSTRAP_TIMEOUT, found)
        .await
        .unwrap()
}

/// If the old leader exited as soon as it had stepped down, the request to campaign could be lost,
/// and the group would have no leader until an election timeout.
#[tokio::test]
async fn a_stopping_leader_waits_until_another_member_leads() {
    let members = group(clem_log::Settings::default());
    let old = leader(&members).await;
    let former = old.replica.leader().unwrap();

    old.replica.transfer_leadership().await;

    let next = old.replica.leader();
    assert!(
        next.is_some_and(|next| next != former),
        "transfer returned, but the leader is {next:?}"
    );
}

/// Leadership must outlast a lease that expires briefly because replies to heartbeats are late.
/// Otherwise a service drops its queue and its targets on each expiry, as seen on a large site.
#[tokio::test]
async fn leadership_outlasts_an_expired_lease() {
    // Heartbeats are sent less often than the lease lasts, so that it expires between them.
    let members = group(clem_log::Settings {
        lease: Duration::from_millis(40),
        election: Duration::from_secs(3),
        ..clem_log::Settings::default()
    });
    let old = leader(&members).await;
    let clock = old.clock;
    let epoch = old.replica.leading_epoch(clock.now());
    assert!(epoch.is_some());
    let mut expired = 0;
    for _ in 0..150 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let now = clock.now();
        expired += u32::from(old.replica.leased_epoch(now).is_none());
        assert_eq!(old.replica.leading_epoch(now), epoch);
    }
    assert!(
        expired > 0,
        "the lease never expired, so the test has checked nothing"
    );
}
