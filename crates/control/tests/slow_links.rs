//! Groups whose links are slow for the entries that they replicate.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use clem_boot::{Clock, acceptor, listen};
use clem_control::replica::{ProposalResult, RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::disk::FileSystem;
use clem_state::{Command, batch_group::BatchGroupChange};
use clem_types::Epoch;
use clem_wire::{FleetSecret, Guard};
use salvo::{Router, Server};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Mutex,
};

/// The rate of each member's link, in bytes a second.
const RATE: f64 = 1_000_000.0;
/// The size of an entry that takes longer on that link than a heartbeat may, in bytes.
const ENTRY_BYTES: usize = 1_500_000;
/// Timeout for a condition; long enough for a busy machine.
const BOUND: Duration = Duration::from_secs(30);
/// What a link takes before it has forwarded it, in bytes.
const WINDOW_BYTES: u32 = 32 * 1024;
/// Connections that may wait for a link.
const BACKLOG: u32 = 64;
/// Bytes that a link forwards at once.
const PIECE_BYTES: usize = 2048;

struct Member {
    replica: Replica,
    _folder: TempDir,
}

/// When the bytes that a link has accepted have left it.
type FreeAt = Arc<Mutex<Instant>>;

/// Forwards connections to `to`, at [`RATE`] for all calls together.
async fn slow_link(socket: TcpListener, to: SocketAddr) {
    let free_at: FreeAt = Arc::new(Mutex::new(Instant::now()));
    while let Ok((caller, _)) = socket.accept().await {
        let free_at = Arc::clone(&free_at);
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(to).await else {
                return;
            };
            let (caller_in, caller_out) = caller.into_split();
            let (server_in, server_out) = server.into_split();
            tokio::select! {
                () = forward(caller_in, server_out, Some(free_at)) => {}
                () = forward(server_in, caller_out, None) => {}
            }
        });
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, free_at: Option<FreeAt>) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let count = match from.read(&mut piece).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        if let Some(free_at) = &free_at {
            let mut free_at = free_at.lock().await;
            let start = (*free_at).max(Instant::now());
            *free_at = start + Duration::from_secs_f64(count as f64 / RATE);
            let left = *free_at;
            drop(free_at);
            tokio::time::sleep_until(left.into()).await;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            return;
        }
    }
}

async fn start_group() -> Vec<Member> {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let mut links = Vec::new();
    for _ in 0..3 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
        socket.bind(any).unwrap();
        links.push(socket.listen(BACKLOG).unwrap());
    }
    let founders: Vec<SocketAddr> = links.iter().map(|l| l.local_addr().unwrap()).collect();
    let mut members = Vec::new();
    for link in links {
        let listener = listen(any).unwrap();
        let folder = TempDir::new().unwrap();
        let secret = FleetSecret::new("slow-links-test-1").unwrap();
        let replica = Replica::open(ReplicaSettings {
            data_dir: Some(folder.path().to_owned()),
            address: link.local_addr().unwrap(),
            peers: founders.clone(),
            secret: secret.clone(),
            clock: Clock::start(),
            bootstrap: true,
            predates_group: false,
            reserve_bytes: RESERVE_BYTES,
            probe: Arc::new(FileSystem),
            consensus: clem_log::Settings {
                voters: 3,
                ..clem_log::Settings::default()
            },
        })
        .unwrap();
        tokio::spawn(slow_link(link, listener.address()));
        let mut routes = replica.routes();
        let router = Router::new().hoop(Guard::new(secret)).append(&mut routes);
        tokio::spawn(Server::new(acceptor(listener).unwrap()).serve(router));
        members.push(Member {
            replica,
            _folder: folder,
        });
    }
    members
}

/// Proposes a command to each member in turn until one commits it; returns how long that took.
async fn commit(members: &[Member], command: &Command) -> Duration {
    let began = Instant::now();
    while began.elapsed() < BOUND {
        for member in members {
            let proposed = member.replica.propose(command.clone());
            let answer = tokio::time::timeout(BOUND, proposed).await;
            if matches!(answer, Ok(ProposalResult::Done(_))) {
                return began.elapsed();
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("nothing was committed in {BOUND:?}");
}

/// Waits until a member leads under a lease, and returns in which epoch.
async fn leading_epoch(members: &[Member]) -> Epoch {
    let began = Instant::now();
    while began.elapsed() < BOUND {
        let mut epochs = members.iter();
        if let Some(epoch) = epochs.find_map(|m| *m.replica.watch_leadership().borrow()) {
            return epoch;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("nobody led for {BOUND:?}");
}

/// An exchange that took longer than a second was given up and begun anew, and heartbeats waited for it.
#[tokio::test]
async fn a_leader_that_sends_large_entries_over_slow_links_keeps_its_group() {
    let members = start_group().await;
    commit(&members, &Command::Nothing).await;
    let before = leading_epoch(&members).await;
    for letter in ["a", "b"] {
        let long = BatchGroupChange::Retire(letter.repeat(ENTRY_BYTES));
        commit(&members, &Command::BatchGroup(long)).await;
    }
    let after = leading_epoch(&members).await;
    assert_eq!(before, after, "the leader changed");
}
