//! Disks that are short of room for a while.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use clem_boot::{Clock, Listener, acceptor, listen};
use clem_control::replica::{ProposalResult, RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::disk::RoomProbe;
use clem_state::{Command, jobs::JobCommand};
use clem_types::UnixMillis;
use clem_wire::{FleetSecret, Guard};
use salvo::{Router, Server};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

/// Timeout for bootstrapping the group.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a disk is short of room.
const SHORT_TIME: Duration = Duration::from_secs(2);
/// Time within which work is taken again once there is room.
const ACK_TIME: Duration = Duration::from_secs(4);
/// Time between two proposals.
const PAUSE: Duration = Duration::from_millis(50);

/// A disk whose room the test sets.
#[derive(Debug)]
struct Disk(AtomicU64);

impl Disk {
    fn set(&self, free_bytes: u64) {
        self.0.store(free_bytes, Ordering::SeqCst);
    }
}

impl RoomProbe for Disk {
    fn free_bytes(&self, _folder: &Path) -> io::Result<u64> {
        Ok(self.0.load(Ordering::SeqCst))
    }
}

struct Member {
    replica: Replica,
    disk: Arc<Disk>,
    _folder: TempDir,
}

fn start(listener: Listener, peers: Vec<SocketAddr>) -> Member {
    let folder = TempDir::new().unwrap();
    let disk = Arc::new(Disk(AtomicU64::new(2 * RESERVE_BYTES)));
    let secret = FleetSecret::new("room-test-000001").unwrap();
    let probe: Arc<dyn RoomProbe> = disk.clone();
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(folder.path().to_owned()),
        address: listener.address(),
        peers,
        secret: secret.clone(),
        clock: Clock::start(),
        bootstrap: true,
        predates_group: false,
        reserve_bytes: RESERVE_BYTES,
        probe,
        consensus: clem_log::Settings::default(),
    })
    .unwrap();
    let mut routes = replica.routes();
    let router = Router::new().hoop(Guard::new(secret)).append(&mut routes);
    let server = Server::new(acceptor(listener).unwrap());
    tokio::spawn(server.serve(router));
    Member {
        replica,
        disk,
        _folder: folder,
    }
}

fn group() -> Vec<Member> {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listeners: Vec<Listener> = (0..3).map(|_| listen(any).unwrap()).collect();
    let peers: Vec<SocketAddr> = listeners.iter().map(Listener::address).collect();
    let start = |listener| start(listener, peers.clone());
    listeners.into_iter().map(start).collect()
}

/// Proposes new work at all members until one has taken it; returns whether that was in time.
async fn is_taken(members: &[Member], time: Duration) -> bool {
    let taken = async {
        loop {
            for member in members {
                let proposed = member.replica.propose(Command::Nothing).await;
                if matches!(proposed, ProposalResult::Done(_)) {
                    return;
                }
            }
            sleep(PAUSE).await;
        }
    };
    timeout(time, taken).await.is_ok()
}

fn leader(members: &[Member]) -> &Member {
    let leads = |member: &&Member| member.replica.watch_leadership().borrow().is_some();
    members.iter().find(leads).unwrap()
}

/// Proposes new work for as long as a disk is short of room; returns whether some was refused.
async fn propose_for(leader: &Member, time: Duration) -> bool {
    let mut refused = false;
    let end = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < end {
        let proposed = leader.replica.propose(Command::Nothing).await;
        refused |= !matches!(proposed, ProposalResult::Done(_));
        sleep(PAUSE).await;
    }
    refused
}

/// The leader learned of its room only with a write, and wrote nothing without room.
#[tokio::test]
async fn a_leader_whose_disk_was_short_of_room_takes_work_again() {
    let members = group();
    assert!(is_taken(&members, BOOTSTRAP_TIMEOUT).await);
    let leader = leader(&members);

    leader.disk.set(0);
    assert!(propose_for(leader, SHORT_TIME).await);
    leader.disk.set(2 * RESERVE_BYTES);

    assert!(is_taken(&members, ACK_TIME).await);
}

#[tokio::test]
async fn disks_short_of_room_one_after_another_stop_no_group() {
    let members = group();
    assert!(is_taken(&members, BOOTSTRAP_TIMEOUT).await);
    let first = leader(&members);

    for member in &members {
        member.disk.set(0);
        propose_for(first, SHORT_TIME).await;
        member.disk.set(2 * RESERVE_BYTES);
    }

    assert!(is_taken(&members, ACK_TIME).await);
}

/// Waits until a leader refuses new work for lack of room.
async fn until_refused(leader: &Member) {
    let refused = async {
        while leader.replica.propose(Command::Nothing).await != ProposalResult::NoRoom {
            sleep(PAUSE).await;
        }
    };
    timeout(ACK_TIME, refused).await.unwrap();
}

/// The leader said that it didn't lead, so that callers went on asking until their time was over.
#[tokio::test]
async fn a_leader_without_room_says_so() {
    let members = group();
    assert!(is_taken(&members, BOOTSTRAP_TIMEOUT).await);
    let leader = leader(&members);
    leader.disk.set(0);
    until_refused(leader).await;
}

/// Deletes old jobs, which makes room.
async fn forget(leader: &Member) -> ProposalResult {
    let command = Command::Job(JobCommand::Forget(UnixMillis(0)));
    leader.replica.propose(command).await
}

/// Results of items that had run, and deletions, were refused together with new work.
#[tokio::test]
async fn what_ends_work_is_stored_while_room_is_short() {
    let members = group();
    assert!(is_taken(&members, BOOTSTRAP_TIMEOUT).await);
    let leader = leader(&members);
    leader.disk.set(RESERVE_BYTES / 2);
    until_refused(leader).await;

    let list = Command::Job(JobCommand::List(Vec::new()));
    let listed = leader.replica.propose(list).await;
    assert!(matches!(listed, ProposalResult::Done(_)), "{listed:?}");
    let forgotten = forget(leader).await;
    assert!(matches!(forgotten, ProposalResult::Done(_)));

    // Below the floor nothing may grow the log, and above it everything may again.
    leader.disk.set(0);
    let refused = async {
        while forget(leader).await != ProposalResult::NoRoom {
            sleep(PAUSE).await;
        }
    };
    timeout(ACK_TIME, refused).await.unwrap();
    leader.disk.set(2 * RESERVE_BYTES);
    assert!(is_taken(&members, ACK_TIME).await);
}

/// Only the leader's room counts, so that others pass callers on to it.
#[tokio::test]
async fn a_member_without_room_that_does_not_lead_says_who_does() {
    let members = group();
    assert!(is_taken(&members, BOOTSTRAP_TIMEOUT).await);
    let leader = leader(&members);
    for member in &members {
        if !std::ptr::eq(member, leader) {
            member.disk.set(0);
        }
    }
    sleep(SHORT_TIME).await;
    for member in &members {
        let proposed = member.replica.propose(Command::Nothing).await;
        if std::ptr::eq(member, leader) {
            assert!(matches!(proposed, ProposalResult::Done(_)));
        } else {
            assert_eq!(proposed, ProposalResult::NotLeader);
        }
    }
}
