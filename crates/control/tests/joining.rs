//! How processes with empty disks find their group, or found one.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clem_boot::{Clock, Listener, acceptor, listen};
use clem_control::replica::{RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::{
    ClusterId, MemberId, MemberKind, Members, SnapshotMetadata, Write,
    disk::{FileSystem, Folder, Identity, read_identity},
};
use clem_state::Command;
use clem_wire::{FleetSecret, Guard, admin::MemberRole};
use salvo::{Router, Server};
use tempfile::TempDir;
use tokio::task::JoinHandle;

/// Timeout for a condition; long enough for a busy machine.
const BOUND: Duration = Duration::from_secs(30);
/// Time between two proposals of a busy caller; shorter than any timer of a member.
const WORK_INTERVAL: Duration = Duration::from_millis(5);
/// Several rounds of queries.
const ROUNDS: Duration = Duration::from_secs(3);
/// Longer than founders wait for each other before a majority of them may found a group.
const MAJORITY_DELAY: Duration = Duration::from_secs(8);

struct Member {
    address: SocketAddr,
    replica: Replica,
    folder: TempDir,
}

fn listeners<const N: usize>() -> [Listener; N] {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    std::array::from_fn(|_| listen(any).unwrap())
}

/// Starts a member with an empty disk that knows these founders and live processes.
fn start(listener: Listener, founders: &[SocketAddr], live: &[SocketAddr]) -> Member {
    start_with(listener, founders, live, false)
}

/// As [`start`]; `predates_group` tells whether the disk is known to be older than any group.
fn start_with(
    listener: Listener,
    founders: &[SocketAddr],
    live: &[SocketAddr],
    predates_group: bool,
) -> Member {
    let folder = TempDir::new().unwrap();
    start_in(folder, listener, founders, live, predates_group)
}

fn start_in(
    folder: TempDir,
    listener: Listener,
    founders: &[SocketAddr],
    live: &[SocketAddr],
    predates_group: bool,
) -> Member {
    let address = listener.address();
    let secret = FleetSecret::new("joining-test-001").unwrap();
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(folder.path().to_owned()),
        address,
        peers: founders.to_vec(),
        secret: secret.clone(),
        clock: Clock::start(),
        bootstrap: true,
        predates_group,
        reserve_bytes: RESERVE_BYTES,
        probe: Arc::new(FileSystem),
        consensus: clem_log::Settings {
            voters: 3,
            ..clem_log::Settings::default()
        },
    })
    .unwrap();
    replica.set_live(live);
    let mut routes = replica.routes();
    let router = Router::new().hoop(Guard::new(secret)).append(&mut routes);
    let server = Server::new(acceptor(listener).unwrap());
    tokio::spawn(server.serve(router));
    Member {
        address,
        replica,
        folder,
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

fn knows(member: &Member, address: SocketAddr) -> bool {
    let members = member.replica.members();
    members.iter().any(|member| member.address == address)
}

#[tokio::test]
async fn founders_that_all_lost_their_disks_join_the_group_of_a_later_member() {
    let [later, first, second, third] = listeners();
    let founders = [first.address(), second.address(), third.address()];
    let own = later.address();
    let later = start(later, &[own], &[]);
    eventually("the later member leads", || {
        later.replica.leader() == Some(own)
    })
    .await;
    let members = [first, second, third].map(|one| start(one, &founders, &[own]));
    eventually("two founders have joined", || {
        let joined = members.iter().filter(|member| knows(member, own));
        joined.count() >= 2
    })
    .await;
    tokio::time::sleep(ROUNDS).await;
    for member in &members {
        let alone = !member.replica.members().is_empty() && !knows(member, own);
        assert!(!alone, "{} is in a second group", member.address);
    }
}

#[tokio::test]
async fn no_group_is_founded_while_a_process_that_is_named_as_alive_is_silent() {
    let [silent, first, second, third] = listeners();
    let founders = [first.address(), second.address(), third.address()];
    let live = [silent.address()];
    let members = [first, second, third].map(|one| start(one, &founders, &live));
    tokio::time::sleep(ROUNDS).await;
    for member in &members {
        assert!(
            member.replica.members().is_empty(),
            "{} is in a group",
            member.address
        );
    }
    for member in &members {
        member.replica.set_live(&[]);
    }
    eventually("the founders have a leader", || {
        members
            .iter()
            .any(|member| member.replica.leader().is_some())
    })
    .await;
}

/// The silent founder may have the data of a group that they belonged to before.
#[tokio::test]
async fn no_group_is_founded_without_a_founder_by_disks_that_may_be_newer() {
    let [silent, first, second] = listeners();
    let founders = [silent.address(), first.address(), second.address()];
    let first = start_with(first, &founders, &[], false);
    let second = start_with(second, &founders, &[], true);
    tokio::time::sleep(MAJORITY_DELAY).await;
    for member in [&first, &second] {
        let known = member.replica.members();
        assert!(known.is_empty(), "{} is in a group", member.address);
    }
}

/// With fewer voters a smaller quorum would do, and that of another group might share no disk with it.
#[tokio::test]
async fn a_group_that_a_majority_founds_has_a_voter_for_each_founder() {
    let [silent, first, second] = listeners();
    let founders = [silent.address(), first.address(), second.address()];
    let members = [first, second].map(|one| start_with(one, &founders, &[], true));
    eventually("the group has a leader", || {
        members.iter().all(|one| one.replica.leader().is_some())
    })
    .await;
    for member in &members {
        let voters = member.replica.members();
        let voters = voters.iter().filter(|one| one.role != MemberRole::Learner);
        let mut addresses: Vec<SocketAddr> = voters.map(|one| one.address).collect();
        addresses.sort_unstable();
        let mut expected = founders;
        expected.sort_unstable();
        assert_eq!(addresses, expected);
    }
}

#[tokio::test]
async fn a_founder_whose_disk_may_be_newer_joins_the_group_of_the_others() {
    let [first, second, third] = listeners();
    let founders = [first.address(), second.address(), third.address()];
    let first = start_with(first, &founders, &[], false);
    let others = [second, third].map(|one| start_with(one, &founders, &[], true));
    let identity = read_identity(first.folder.path()).unwrap().unwrap();
    let own = identity.member.to_string();
    eventually("the founder is a voter", || {
        let known = others[0].replica.members();
        let mut voters = known.iter().filter(|one| one.role != MemberRole::Learner);
        known.len() == 3 && voters.any(|one| one.identity == own)
    })
    .await;
    for other in &others {
        assert!(knows(&first, other.address));
    }
}

#[tokio::test]
async fn no_group_is_founded_by_a_minority_of_the_founders() {
    let [first, second, third, fourth, fifth] = listeners();
    let founders = [&first, &second, &third, &fourth, &fifth].map(Listener::address);
    let members = [first, second].map(|one| start_with(one, &founders, &[], true));
    tokio::time::sleep(MAJORITY_DELAY).await;
    for member in &members {
        let known = member.replica.members();
        assert!(known.is_empty(), "{} is in a group", member.address);
    }
}

/// The disk of a member of a group of its own, with voters at these addresses.
fn grouped_disk(addresses: [SocketAddr; 3]) -> TempDir {
    grouped_disk_of(ClusterId(1), addresses)
}

/// The disk of the first of these members of a group, as it is before any entry.
fn grouped_disk_of(cluster: ClusterId, addresses: [SocketAddr; 3]) -> TempDir {
    let disk = TempDir::new().unwrap();
    let identity = Identity {
        member: MemberId(1),
        cluster: Some(cluster),
    };
    let (mut folder, _) = Folder::open(disk.path(), identity).unwrap();
    let mut base = SnapshotMetadata::default();
    let voters = (1..).zip(addresses).map(|(id, address)| clem_log::Member {
        id: MemberId(id),
        address: address.to_string(),
        kind: MemberKind::Voter,
    });
    base.members = Members::new(voters.collect());
    let write = Write {
        reset: Some(base),
        ..Write::default()
    };
    folder.write(vec![write]).unwrap();
    disk
}

/// A founder whose group never got a quorum would keep everybody who asks it from the group that did.
#[tokio::test]
async fn a_process_joins_no_group_without_a_leader_as_long_as_it_is_not_a_member() {
    let [alone, lost, leading, spare] = listeners();
    let (first, own) = (alone.address(), leading.address());
    let disk = grouped_disk([first, lost.address(), own]);
    let _alone = start_in(disk, alone, &[], &[], false);
    let spare = start(spare, &[first], &[]);
    tokio::time::sleep(ROUNDS).await;
    let identity = read_identity(spare.folder.path()).unwrap().unwrap();
    assert_eq!(
        identity.cluster, None,
        "it joined the founder that is alone"
    );

    let leading = start(leading, &[own], &[]);
    eventually("there is a leader", || {
        leading.replica.leader() == Some(own)
    })
    .await;
    spare.replica.set_live(&[own]);
    eventually("the spare votes", || is_voter(&leading, spare.address)).await;
}

/// Proposes commands at short intervals, for as long as the handle is not aborted.
fn keep_busy(replica: &Replica) -> JoinHandle<()> {
    let replica = replica.clone();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(WORK_INTERVAL);
        loop {
            interval.tick().await;
            let replica = replica.clone();
            tokio::spawn(async move { replica.propose(Command::Nothing).await });
        }
    })
}

fn is_voter(member: &Member, address: SocketAddr) -> bool {
    let members = member.replica.members();
    let mut found = members.iter().filter(|member| member.address == address);
    found.any(|member| member.role != MemberRole::Learner)
}

/// A leader with constant work never ran its timers, so that it promoted no learner.
#[tokio::test]
async fn a_busy_leader_promotes_a_member_that_joins() {
    let [first, second] = listeners();
    let own = first.address();
    let leader = start(first, &[own], &[]);
    eventually("the first member leads", || {
        leader.replica.leader() == Some(own)
    })
    .await;
    let work = keep_busy(&leader.replica);
    let address = second.address();
    let _joining = start(second, &[own], &[]);
    eventually("the second member votes", || is_voter(&leader, address)).await;
    work.abort();
}

/// A member that was stopped for good stayed a voter, though the process that could replace it ran.
#[tokio::test]
async fn a_member_that_stops_is_replaced_before_it_may_stop() {
    let [first, second, third, spare] = listeners();
    let founders = [first.address(), second.address(), third.address()];
    let members = [first, second, third].map(|one| start(one, &founders, &[]));
    eventually("the group has a leader", || {
        members.iter().any(|one| one.replica.leader().is_some())
    })
    .await;
    let led = |member: &&Member| member.replica.leader() == Some(member.address);
    let stopping = members.iter().find(led).unwrap_or(&members[0]);
    let staying = members.iter().find(|one| one.address != stopping.address);
    let staying = staying.unwrap();
    let address = spare.address();
    let _spare = start(spare, &[staying.address], &founders);
    tokio::time::sleep(ROUNDS).await;
    assert!(!is_voter(staying, address), "no voter is missing");

    stopping.replica.prepare_stop(BOUND).await;

    assert!(is_voter(staying, address), "the spare has no vote");
    eventually("the member that stops has no vote", || {
        !is_voter(staying, stopping.address)
    })
    .await;
}

/// A member that was removed asked only those that it knew, of whom none led any more: followers refused it, and
/// it never heard of the leader that had joined meanwhile.
#[tokio::test]
async fn a_removed_member_that_does_not_know_the_leader_comes_back() {
    let [first, second, removed] = listeners();
    let (own, known, address) = (first.address(), second.address(), removed.address());
    let leader = start(first, &[own], &[]);
    eventually("the first member leads", || {
        leader.replica.leader() == Some(own)
    })
    .await;
    let _second = start(second, &[own], &[]);
    eventually("the second member votes", || is_voter(&leader, known)).await;

    let disk = TempDir::new().unwrap();
    let group = read_identity(leader.folder.path()).unwrap().unwrap();
    let identity = Identity {
        member: MemberId(7),
        cluster: group.cluster,
    };
    let (mut folder, _) = Folder::open(disk.path(), identity).unwrap();
    let voters = [(MemberId(7), address), (MemberId(8), known)];
    let voters = voters.map(|(id, address)| clem_log::Member {
        id,
        address: address.to_string(),
        kind: MemberKind::Voter,
    });
    let base = SnapshotMetadata {
        members: Members::new(voters.to_vec()),
        ..SnapshotMetadata::default()
    };
    let write = Write {
        reset: Some(base),
        ..Write::default()
    };
    folder.write(vec![write]).unwrap();
    drop(folder);
    let _removed = start_in(disk, removed, &[], &[], false);
    eventually("the removed member votes", || is_voter(&leader, address)).await;
}

/// A member that no vote nor place is left for told its callers that there is no leader.
#[tokio::test]
async fn a_removed_member_of_a_whole_group_names_the_leader() {
    let [first, second, third, removed] = listeners();
    let founders = [first.address(), second.address(), third.address()];
    let members = [first, second, third].map(|one| start(one, &founders, &[]));
    eventually("the group has a leader", || {
        members.iter().all(|one| one.replica.leader().is_some())
    })
    .await;
    let leader = members[0].replica.leader();

    let group = read_identity(members[0].folder.path()).unwrap().unwrap();
    let voters = [removed.address(), founders[0], founders[1]];
    let disk = grouped_disk_of(group.cluster.unwrap(), voters);
    let removed = start_in(disk, removed, &[], &[], false);
    eventually("the removed member names the leader", || {
        removed.replica.leader() == leader
    })
    .await;
    assert!(!is_voter(&members[0], removed.address));
}
