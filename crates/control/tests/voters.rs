//! What a member tells of its group's voters.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use clem_boot::{Clock, acceptor, listen};
use clem_control::replica::{RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::disk::FileSystem;
use clem_state::{Command, batch_group::BatchGroupChange};
use clem_wire::{
    FleetSecret, Guard, LeaderReply,
    admin::{ChangeMembersReply, MemberChange},
};
use salvo::{Router, Server};
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};

/// Timeout for a condition; long enough for a busy machine.
const BOUND: Duration = Duration::from_secs(30);
/// The size of an entry, in bytes.
const ENTRY_BYTES: usize = 1024 * 1024;
/// More entries than a leader keeps for members that lag.
const ENTRIES: usize = 12;

struct Member {
    address: SocketAddr,
    replica: Replica,
    is_cut: Arc<AtomicBool>,
    _folder: TempDir,
}

/// Forwards connections to `to`, except while the member is cut off.
async fn forward(socket: TcpListener, to: SocketAddr, is_cut: Arc<AtomicBool>) {
    while let Ok((mut caller, _)) = socket.accept().await {
        let is_cut = Arc::clone(&is_cut);
        tokio::spawn(async move {
            let until_cut = async {
                while !is_cut.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            let Ok(mut server) = TcpStream::connect(to).await else {
                return;
            };
            tokio::select! {
                biased;
                () = until_cut => {}
                _ = tokio::io::copy_bidirectional(&mut caller, &mut server) => {}
            }
        });
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Starts a member that is reached at the address of `link`.
fn start(link: TcpListener, founders: &[SocketAddr]) -> Member {
    let address = link.local_addr().unwrap();
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let folder = TempDir::new().unwrap();
    let secret = FleetSecret::new("voters-test-0001").unwrap();
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(folder.path().to_owned()),
        address,
        peers: founders.to_vec(),
        secret: secret.clone(),
        clock: Clock::start(),
        bootstrap: true,
        predates_group: false,
        reserve_bytes: RESERVE_BYTES,
        probe: Arc::new(FileSystem),
        consensus: clem_log::Settings::default(),
    })
    .unwrap();
    let is_cut = Arc::new(AtomicBool::new(false));
    tokio::spawn(forward(link, listener.address(), Arc::clone(&is_cut)));
    let mut routes = replica.routes();
    let router = Router::new().hoop(Guard::new(secret)).append(&mut routes);
    tokio::spawn(Server::new(acceptor(listener).unwrap()).serve(router));
    Member {
        address,
        replica,
        is_cut,
        _folder: folder,
    }
}

async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let held = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let in_time = tokio::time::timeout(BOUND, held).await;
    assert!(in_time.is_ok(), "waited too long for: {what}");
}

/// Adds a member to the group, by whichever of the others leads.
async fn add(members: &[Member], address: SocketAddr) {
    let added = async {
        loop {
            for member in members {
                let change = MemberChange::Add(address);
                let reply = member.replica.change_members(change).await;
                if matches!(reply, LeaderReply::Done(ChangeMembersReply::Accepted)) {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(tokio::time::timeout(BOUND, added).await.is_ok());
}

/// A member that had applied a membership change and then got a copy went on telling the former voters,
/// by which a retirement was called completed.
#[tokio::test]
async fn a_member_that_got_a_copy_tells_the_voters_of_the_copy() {
    let links = [bind().await, bind().await, bind().await];
    let founders = links.each_ref().map(|link| link.local_addr().unwrap());
    let mut members: Vec<Member> = links.map(|link| start(link, &founders)).into();
    let fourth = start(bind().await, &founders);
    let fifth = start(bind().await, &founders);
    add(&members, fourth.address).await;
    let knows = |member: &Member, address| member.replica.voters().contains(&address);
    eventually("the fourth member is a voter for all", || {
        members.iter().all(|member| knows(member, fourth.address))
    })
    .await;
    let leads = |member: &Member| member.replica.watch_leadership().borrow().is_some();
    let follower = members.iter().position(|member| !leads(member)).unwrap();
    let late = members.remove(follower);
    late.is_cut.store(true, Ordering::Relaxed);
    members.push(fourth);
    add(&members, fifth.address).await;
    eventually(
        "the fifth member is a voter for those that are reached",
        || members.iter().all(|member| knows(member, fifth.address)),
    )
    .await;
    assert!(!knows(&late, fifth.address));
    for _ in 0..ENTRIES {
        for member in &members {
            // The state has it once.
            let change = Command::BatchGroup(BatchGroupChange::Retire("v".repeat(ENTRY_BYTES)));
            member.replica.propose(change).await;
        }
    }
    late.is_cut.store(false, Ordering::Relaxed);
    eventually("the member that was cut off tells the fifth one", || {
        knows(&late, fifth.address)
    })
    .await;
}
