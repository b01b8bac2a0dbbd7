//! What a process tells its callers of its group.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clem_boot::Clock;
use clem_control::replica::{
    RESERVE_BYTES, Replica, ReplicaSettings,
    brief::{GroupState, Place},
};
use clem_log::{
    GroupStatus, LogIndex, MemberId, MemberKind, Term, VoteAnswer, VoterStatus,
    disk::{FileSystem, RoomProbe},
};
use clem_state::Command;
use clem_types::Epoch;
use clem_wire::{FleetSecret, GroupBrief};
use tempfile::TempDir;
use tokio::time::timeout;

/// Timeout for a condition; long enough for a busy machine.
const BOUND: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(20);
const MIB: u64 = 1024 * 1024;

/// A disk that hangs for as long as the test wants.
#[derive(Debug, Default)]
struct Disk {
    hangs: AtomicBool,
}

impl RoomProbe for Disk {
    /// Called by the log's writer before it reports a write.
    fn free_bytes(&self, _folder: &Path) -> io::Result<u64> {
        while self.hangs.load(Ordering::SeqCst) {
            thread::sleep(PAUSE);
        }
        Ok(2 * RESERVE_BYTES)
    }
}

fn voter(id: u64, granted: Option<bool>) -> VoterStatus {
    VoterStatus {
        id: MemberId(id),
        address: format!("10.1.0.{id}:7220"),
        unheard: None,
        granted,
    }
}

/// A voter of three that knows of a leader.
fn state() -> GroupState {
    GroupState {
        status: GroupStatus {
            leaderless: None,
            own: Some(MemberKind::Voter),
            answers: Vec::new(),
            lacking: 0,
            quorum: 2,
            voters: vec![voter(2, None), voter(3, None)],
            reachable: 2,
            vacancy: None,
        },
        term: Term(12),
        last: LogIndex(48_211),
        commit: LogIndex(48_211),
        applied: LogIndex(48_211),
        timer_wait: None,
        disk_wait: None,
        store_wait: None,
        short_bytes: None,
    }
}

fn text(state: GroupState) -> String {
    GroupBrief::from(Place::Inside(Box::new(state)).to_string())
        .as_str()
        .to_owned()
}

#[test]
fn a_member_tells_its_kind_its_voters_and_its_log() {
    assert_eq!(text(state()), "V2/2/3T12P48211");
    let mut learner = state();
    learner.status.own = Some(MemberKind::Learner);
    assert_eq!(text(learner), "L2/2/2T12P48211");
    let mut removed = state();
    removed.status.own = None;
    removed.status.reachable = 0;
    assert_eq!(text(removed), "N0/2/2T12P48211");
    let mut behind = state();
    behind.commit = LogIndex(48_209);
    behind.applied = LogIndex(47_911);
    assert_eq!(text(behind), "V2/2/3T12P48211c2a300");
}

#[test]
fn a_voter_without_a_leader_tells_how_votes_were_answered() {
    let mut state = state();
    state.status.leaderless = Some(Duration::from_millis(25_900));
    state.status.reachable = 1;
    state.status.voters = vec![voter(2, Some(true)), voter(3, Some(false)), voter(4, None)];
    state.status.answers = vec![
        (MemberId(2), VoteAnswer::Granted),
        (MemberId(3), VoteAnswer::Led),
        (MemberId(4), VoteAnswer::OldTerm),
        (MemberId(5), VoteAnswer::OldLog),
    ];
    assert_eq!(text(state), "V1/2/4Z25AgltoEgrnT12P48211");
}

#[test]
fn a_member_tells_what_it_waits_for() {
    let mut state = state();
    state.timer_wait = Some(Duration::from_millis(100));
    state.disk_wait = Some(Duration::from_millis(999));
    state.store_wait = Some(Duration::from_millis(400));
    assert_eq!(text(state), "V2/2/3T12P48211");
    let mut state = self::state();
    state.timer_wait = Some(Duration::from_secs(25));
    state.disk_wait = Some(Duration::from_secs(31));
    state.store_wait = Some(Duration::from_secs(4));
    state.short_bytes = Some(12 * MIB + 1);
    assert_eq!(text(state), "V2/2/3K25D31S4T12P48211F12");
}

#[test]
fn the_facts_that_decide_are_kept_however_large_the_others_are() {
    let mut state = state();
    let long = Duration::from_secs(86_400);
    state.status.leaderless = Some(long);
    state.status.answers = vec![(MemberId(2), VoteAnswer::Given); 100];
    state.status.voters = (2..100).map(|id| voter(id, Some(true))).collect();
    state.timer_wait = Some(long);
    state.disk_wait = Some(long);
    state.store_wait = Some(long);
    state.term = Term(u64::MAX);
    state.last = LogIndex(u64::MAX);
    state.short_bytes = Some(u64::MAX);
    let text = text(state);
    assert!(text.len() <= 64, "{} bytes", text.len());
    let start = "V2/2/99Z86400K86400D86400S86400AvvvvEggggT";
    assert!(text.starts_with(start), "{text}");
}

fn open(folder: Option<&TempDir>, peers: Vec<SocketAddr>, probe: Arc<dyn RoomProbe>) -> Replica {
    Replica::open(ReplicaSettings {
        data_dir: folder.map(|folder| folder.path().to_owned()),
        address: peers[0],
        peers,
        secret: FleetSecret::new("brief-test-000001").unwrap(),
        clock: Clock::start(),
        bootstrap: true,
        predates_group: false,
        reserve_bytes: RESERVE_BYTES,
        probe,
        consensus: clem_log::Settings::default(),
    })
    .unwrap()
}

async fn until_leading(alone: &Replica) -> Epoch {
    let mut leading = alone.watch_leadership();
    let led = leading.wait_for(Option::is_some);
    let led = timeout(BOUND, led).await;
    let epoch: Option<Epoch> = *led.unwrap().unwrap();
    epoch.unwrap()
}

#[tokio::test]
async fn a_process_outside_of_any_group_differs_from_one_without_a_disk_and_from_a_leader() {
    let [own, other] = [1, 2].map(|last| SocketAddr::from(([127, 0, 6, last], 9)));
    let folder = TempDir::new().unwrap();
    let outside = open(Some(&folder), vec![own, other], Arc::new(FileSystem));
    assert_eq!(outside.brief().as_str(), "-");
    let diskless = open(None, vec![own, other], Arc::new(FileSystem));
    assert_eq!(diskless.brief().as_str(), "Q");

    let folder = TempDir::new().unwrap();
    let alone = open(Some(&folder), vec![own], Arc::new(FileSystem));
    let epoch = until_leading(&alone).await;
    let brief = alone.brief();
    let start = format!("V1/1/1T{}P", epoch.0);
    assert!(brief.as_str().starts_with(&start), "{}", brief.as_str());
}

#[tokio::test]
async fn a_member_whose_disk_hangs_tells_so_until_it_works_again() {
    let own = SocketAddr::from(([127, 0, 6, 3], 9));
    let folder = TempDir::new().unwrap();
    let disk = Arc::new(Disk::default());
    let alone = open(Some(&folder), vec![own], disk.clone());
    until_leading(&alone).await;
    let waits = || alone.brief().as_str().contains('D');
    assert!(!waits(), "{:?}", alone.brief());

    disk.hangs.store(true, Ordering::SeqCst);
    let proposing = alone.clone();
    let proposed = tokio::spawn(async move { proposing.propose(Command::Nothing).await });
    let start = Instant::now();
    while !waits() {
        assert!(start.elapsed() < BOUND, "{:?}", alone.brief());
        tokio::time::sleep(PAUSE).await;
    }
    assert!(start.elapsed() >= Duration::from_secs(1));

    disk.hangs.store(false, Ordering::SeqCst);
    timeout(BOUND, proposed).await.unwrap().unwrap();
    let start = Instant::now();
    while waits() {
        assert!(start.elapsed() < BOUND, "{:?}", alone.brief());
        tokio::time::sleep(PAUSE).await;
    }
}
