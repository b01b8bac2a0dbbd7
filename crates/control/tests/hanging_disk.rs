//! Leaders whose disks hang.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Condvar, Mutex, mpsc},
    thread,
    time::Duration,
};

use clem_boot::{Clock, Listener, acceptor, listen};
use clem_control::replica::{ProposalResult, RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::disk::RoomProbe;
use clem_state::Command;
use clem_wire::{FleetSecret, Guard};
use futures_util::future;
use salvo::{Router, Server};
use tempfile::TempDir;
use tokio::time::{Instant, sleep, timeout};

/// Timeout for bootstrapping the group.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which another member serves: several of the bounds after which a disk counts as hanging.
const PASSED_ON: Duration = Duration::from_secs(12);
/// Longer than a member waits until it campaigns.
const QUIET: Duration = Duration::from_secs(4);
/// Timeout of one proposal.
const ANSWERED: Duration = Duration::from_millis(500);
/// How long a copy waits to be put in place: longer than two timeouts of a page.
const INSTALLED: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(20);
/// Proposals at once, and the bursts after which members sync their stores.
const BURST: usize = 1000;
const BURSTS: usize = 24;

/// A disk that hangs while the test says so.
#[derive(Debug, Default)]
struct Disk {
    hangs: Mutex<bool>,
    changed: Condvar,
}

impl Disk {
    fn set(&self, hangs: bool) {
        *self.hangs.lock().unwrap() = hangs;
        self.changed.notify_all();
    }
}

impl RoomProbe for Disk {
    /// Called after each write of the log, before it counts as synced.
    fn free_bytes(&self, _folder: &Path) -> io::Result<u64> {
        let hangs = self.hangs.lock().unwrap();
        drop(self.changed.wait_while(hangs, |hangs| *hangs).unwrap());
        Ok(2 * RESERVE_BYTES)
    }
}

struct Member {
    address: SocketAddr,
    replica: Replica,
    disk: Arc<Disk>,
    /// The runtime of the member, whose only thread for blocking work can be kept busy.
    runtime: tokio::runtime::Handle,
    _folder: TempDir,
}

impl Member {
    /// Keeps the store from being synced until the sender is dropped.
    fn hang_store(&self) -> mpsc::Sender<()> {
        let (sender, receiver) = mpsc::channel::<()>();
        self.runtime.spawn_blocking(move || {
            // Ends when the sender is dropped.
            let _ = receiver.recv();
        });
        sender
    }

    fn leads(&self) -> bool {
        self.replica.watch_leadership().borrow().is_some()
    }
}

/// Starts a member on a thread of its own.
fn start(listener: Listener, peers: Vec<SocketAddr>) -> Member {
    let address = listener.address();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(1)
            .build()
            .unwrap();
        runtime.block_on(async {
            let folder = TempDir::new().unwrap();
            let disk = Arc::new(Disk::default());
            let secret = FleetSecret::new("hanging-test-001").unwrap();
            let probe: Arc<dyn RoomProbe> = disk.clone();
            let replica = Replica::open(ReplicaSettings {
                data_dir: Some(folder.path().to_owned()),
                address,
                peers,
                secret: secret.clone(),
                clock: Clock::start(),
                bootstrap: true,
                predates_group: false,
                reserve_bytes: RESERVE_BYTES,
                probe,
                consensus: clem_log::Settings {
                    voters: 3,
                    ..clem_log::Settings::default()
                },
            })
            .unwrap();
            let mut routes = replica.routes();
            let router = Router::new().hoop(Guard::new(secret)).append(&mut routes);
            let server = Server::new(acceptor(listener).unwrap());
            let member = Member {
                address,
                replica,
                disk,
                runtime: tokio::runtime::Handle::current(),
                _folder: folder,
            };
            sender.send(member).unwrap();
            server.serve(router).await;
        });
    });
    receiver.recv().unwrap()
}

fn group() -> Vec<Member> {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listeners: Vec<Listener> = (0..3).map(|_| listen(any).unwrap()).collect();
    let peers: Vec<SocketAddr> = listeners.iter().map(Listener::address).collect();
    let start = |listener| start(listener, peers.clone());
    listeners.into_iter().map(start).collect()
}

/// Proposes work at all members until one has taken it; returns its place, if that was in time.
async fn taken_by(members: &[Member], time: Duration) -> Option<usize> {
    let taken = async {
        loop {
            for (place, member) in members.iter().enumerate() {
                let proposed = member.replica.propose(Command::Nothing);
                if matches!(
                    timeout(ANSWERED, proposed).await,
                    Ok(ProposalResult::Done(_))
                ) {
                    return place;
                }
            }
            sleep(PAUSE).await;
        }
    };
    timeout(time, taken).await.ok()
}

/// Proposes so much that members sync their stores, or until nothing is answered any more.
async fn propose_many(leader: &Member) {
    for _ in 0..BURSTS {
        let burst = (0..BURST).map(|_| leader.replica.propose(Command::Nothing));
        if timeout(QUIET, future::join_all(burst)).await.is_err() {
            return;
        }
    }
}

/// Waits until a member has all of the leader's log.
async fn until_follows(leader: &Member, address: SocketAddr) {
    let follows = async {
        loop {
            let views = leader.replica.members();
            let find = |address| views.iter().find(|view| view.address == address);
            let matched = |address| find(address).map(|view| view.matched);
            if matched(address).is_some() && matched(address) >= matched(leader.address) {
                return;
            }
            sleep(PAUSE).await;
        }
    };
    let in_time = timeout(PASSED_ON, follows).await;
    assert!(in_time.is_ok(), "{address} lacks entries");
}

/// The leader's heartbeats kept the others from electing one of them, while it answered nobody.
#[tokio::test]
async fn a_leader_whose_log_hangs_passes_leadership_on() {
    let members = group();
    let hung = taken_by(&members, BOOTSTRAP_TIMEOUT).await.unwrap();

    members[hung].disk.set(true);
    let next = taken_by(&members, PASSED_ON).await;
    assert!(next.is_some_and(|next| next != hung), "{next:?} serves");
    let end = Instant::now() + QUIET;
    while Instant::now() < end {
        assert!(!members[hung].leads(), "it leads while its disk hangs");
        sleep(PAUSE).await;
    }

    members[hung].disk.set(false);
    let next = taken_by(&members, PASSED_ON).await.unwrap();
    until_follows(&members[next], members[hung].address).await;
}

/// What the leader proposed was committed by the others' disks, and never applied by it.
#[tokio::test]
async fn a_leader_whose_store_hangs_passes_leadership_on() {
    let members = group();
    let hung = taken_by(&members, BOOTSTRAP_TIMEOUT).await.unwrap();

    let hanging = members[hung].hang_store();
    propose_many(&members[hung]).await;
    let next = taken_by(&members, PASSED_ON).await;
    assert!(next.is_some_and(|next| next != hung), "{next:?} serves");

    drop(hanging);
    assert!(taken_by(&members, PASSED_ON).await.is_some());
}

/// Passing leadership on for each slow write would cost more than waiting for it.
#[tokio::test]
async fn a_leader_whose_log_hangs_for_a_moment_keeps_leading() {
    let members = group();
    let leader = taken_by(&members, BOOTSTRAP_TIMEOUT).await.unwrap();
    let epoch = *members[leader].replica.watch_leadership().borrow();
    members[leader].disk.set(true);
    sleep(ANSWERED).await;
    members[leader].disk.set(false);
    assert_eq!(taken_by(&members, PASSED_ON).await, Some(leader));
    assert_eq!(*members[leader].replica.watch_leadership().borrow(), epoch);
}

/// The last page is sent again and again meanwhile.
#[tokio::test]
async fn a_copy_that_takes_long_to_put_in_place_is_completed() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let [first, second] = [any, any].map(|any| listen(any).unwrap());
    let own = first.address();
    let leader = start(first, vec![own]);
    let members = [leader];
    assert!(taken_by(&members, BOOTSTRAP_TIMEOUT).await.is_some());
    propose_many(&members[0]).await;

    let joining = start(second, vec![own]);
    let hanging = joining.hang_store();
    sleep(INSTALLED).await;
    let views = members[0].replica.members();
    let joined = views.iter().find(|view| view.address == joining.address);
    assert_eq!(
        joined.map(|view| view.matched),
        Some(0),
        "it has no copy yet"
    );
    drop(hanging);
    until_follows(&members[0], joining.address).await;
}
