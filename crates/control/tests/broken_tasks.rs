//! Tasks of a member that panic. A logger that panics at a chosen line breaks them.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    future::pending,
    net::SocketAddr,
    process::Command as Program,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use clem_boot::{Clock, EXIT_FAILURE, Listener, acceptor, listen, run};
use clem_control::replica::{ProposalResult, RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::disk::FileSystem;
use clem_state::Command;
use clem_types::Version;
use clem_wire::{FleetSecret, Guard, admin::MemberRole, fleet::RulesDocument};
use futures_util::future;
use log::{LevelFilter, Log, Metadata, Record};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait, http::StatusCode,
};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

/// Timeout for a condition; long enough for a busy machine, and shorter than any timeout of a whole copy.
const BOUND: Duration = Duration::from_secs(25);
/// Long enough for a busy machine to miss no election.
const ELECTION: Duration = Duration::from_secs(3);
/// Proposals after an exchange has panicked, and the time between two of them.
const ROUNDS: usize = 10;
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks.
const STEP: Duration = Duration::from_millis(20);
/// Entries after which a member compacts its log.
const COMPACTED: usize = 21_000;
/// Proposals at once.
const BURST: usize = 1000;
/// Set in a process whose member is broken at the line that it names.
const BROKEN_AT: &str = "CLEM_TEST_BROKEN_AT";
/// The path of calls with a page of a copy.
const COPY_PATH: &str = "/internal/group/copy";

/// The line at which the next task that logs it panics.
static ARMED: Mutex<Option<String>> = Mutex::new(None);
/// Held by each test, as the line is the process's.
static ALONE: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

struct BreakingLogger;

impl Log for BreakingLogger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let line = record.args().to_string();
        let mut armed = ARMED.lock().unwrap_or_else(PoisonError::into_inner);
        if armed.as_deref() == Some(&line) {
            *armed = None;
            drop(armed);
            panic!("broken by the test at: {line}");
        }
    }

    fn flush(&self) {}
}

fn arm(line: &str) {
    // The logger is that of the whole process.
    let _ = log::set_logger(&BreakingLogger);
    log::set_max_level(LevelFilter::Debug);
    *ARMED.lock().unwrap_or_else(PoisonError::into_inner) = Some(line.to_owned());
}

fn is_armed() -> bool {
    let armed = ARMED.lock().unwrap_or_else(PoisonError::into_inner);
    armed.is_some()
}

/// What happens to the calls that a member gets.
#[derive(Default)]
struct Gate {
    refuses: AtomicBool,
    /// Pages of copies that have arrived.
    pages: AtomicUsize,
    /// The page that is refused, from 1.
    refused_page: AtomicUsize,
    /// The page that is never answered, and never reaches the member, from 1.
    silent_page: AtomicUsize,
}

struct Gated(Arc<Gate>);

#[async_trait]
impl Handler for Gated {
    async fn handle(
        &self,
        req: &mut Request,
        _: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let gate = &self.0;
        let mut refuses = gate.refuses.load(Ordering::SeqCst);
        if req.uri().path() == COPY_PATH {
            let page = gate.pages.fetch_add(1, Ordering::SeqCst) + 1;
            if gate.silent_page.load(Ordering::SeqCst) == page {
                pending::<()>().await;
            }
            refuses |= gate.refused_page.load(Ordering::SeqCst) == page;
        }
        if refuses {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            ctrl.skip_rest();
        }
    }
}

struct Member {
    address: SocketAddr,
    replica: Replica,
    gate: Arc<Gate>,
    _folder: TempDir,
}

fn listeners<const N: usize>() -> [Listener; N] {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    std::array::from_fn(|_| listen(any).unwrap())
}

fn start(listener: Listener, founders: &[SocketAddr]) -> Member {
    let address = listener.address();
    let folder = TempDir::new().unwrap();
    let secret = FleetSecret::new("broken-test-0001").unwrap();
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
        consensus: clem_log::Settings {
            voters: 3,
            election: ELECTION,
            ..clem_log::Settings::default()
        },
    })
    .unwrap();
    let gate = Arc::new(Gate::default());
    let mut routes = replica.routes();
    let router = Router::new()
        .hoop(Gated(Arc::clone(&gate)))
        .hoop(Guard::new(secret))
        .append(&mut routes);
    let server = Server::new(acceptor(listener).unwrap());
    tokio::spawn(server.serve(router));
    Member {
        address,
        replica,
        gate,
        _folder: folder,
    }
}

async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let held = async {
        while !condition() {
            sleep(STEP).await;
        }
    };
    let in_time = timeout(BOUND, held).await;
    assert!(in_time.is_ok(), "waited too long for: {what}");
}

fn is_voter(member: &Member, address: SocketAddr) -> bool {
    let members = member.replica.members();
    let mut found = members.iter().filter(|member| member.address == address);
    found.any(|member| member.role != MemberRole::Learner)
}

/// All messages to a member waited for good for an exchange that had ended.
#[tokio::test]
async fn a_member_is_sent_messages_after_an_exchange_with_it_has_panicked() {
    let _alone = ALONE.lock().await;
    let listeners = listeners::<3>();
    let founders = listeners.each_ref().map(Listener::address);
    let members = listeners.map(|one| start(one, &founders));
    eventually("all members know the leader", || {
        members.iter().all(|one| one.replica.leader().is_some())
    })
    .await;
    let follows = |one: &&Member| one.replica.leader() != Some(one.address);
    let follower = members.iter().find(follows).unwrap();

    arm("failed to reach member");
    follower.gate.refuses.store(true, Ordering::SeqCst);
    eventually("the exchange has panicked", || !is_armed()).await;
    follower.gate.refuses.store(false, Ordering::SeqCst);

    // Without exchanges of the leader, it gets messages only when it asks for votes.
    let leader = members.iter().find(|one| !follows(one)).unwrap();
    for _ in 0..ROUNDS {
        let proposed = leader.replica.propose(Command::Nothing).await;
        assert!(matches!(proposed, ProposalResult::Done(_)), "{proposed:?}");
        let last = matched(leader, leader.address);
        let follows = async {
            while matched(leader, follower.address) < last {
                sleep(STEP).await;
            }
        };
        let in_time = timeout(ELECTION / 2, follows).await;
        assert!(in_time.is_ok(), "the follower lacks an entry");
        sleep(ROUND_PAUSE).await;
    }
}

/// The log index up to which a leader knows a member to have its log.
fn matched(leader: &Member, address: SocketAddr) -> u64 {
    let members = leader.replica.members();
    let mut found = members.iter().filter(|member| member.address == address);
    found.next().map_or(0, |member| member.matched)
}

/// Starts a leader whose log lacks its first entries, so that others need a copy of its state.
async fn start_compacted(listener: Listener) -> Member {
    let own = listener.address();
    let leader = start(listener, &[own]);
    eventually("the member leads", || leader.replica.leader() == Some(own)).await;
    // The state fits into one page, after which an empty last one is sent.
    let document = RulesDocument {
        version: Version(1),
        document: "rules".into(),
    };
    leader
        .replica
        .propose(Command::Document(document.into()))
        .await;
    for _ in 0..COMPACTED / BURST {
        let burst = (0..BURST).map(|_| leader.replica.propose(Command::Nothing));
        future::join_all(burst).await;
    }
    leader
}

/// The leader believed for good that a copy was under way.
#[tokio::test]
async fn a_copy_is_begun_anew_when_its_task_has_panicked() {
    let _alone = ALONE.lock().await;
    let [first, second] = listeners();
    let leader = start_compacted(first).await;
    arm("snapshot not sent");
    let joining = start(second, &[leader.address]);
    joining.gate.refused_page.store(1, Ordering::SeqCst);
    eventually("the copy's task has panicked", || !is_armed()).await;
    eventually("the joining member votes", || {
        is_voter(&leader, joining.address)
    })
    .await;
}

/// The leader waited for a minute for the answer to the last page.
#[tokio::test]
async fn a_copy_whose_last_page_is_lost_is_completed() {
    let _alone = ALONE.lock().await;
    let [first, second] = listeners();
    let leader = start_compacted(first).await;
    let joining = start(second, &[leader.address]);
    joining.gate.silent_page.store(2, Ordering::SeqCst);
    eventually("the last page is lost", || {
        joining.gate.pages.load(Ordering::SeqCst) >= 2
    })
    .await;
    eventually("the joining member votes", || {
        is_voter(&leader, joining.address)
    })
    .await;
}

// ----------------------------------------------------------------------------
// Tasks that a process can't do without.

/// Runs a member in a process of its own, whose tasks panic at `line`; returns the exit code.
fn run_broken(test: &str, line: &str) -> Option<i32> {
    let program = std::env::current_exe().unwrap();
    let ended = Program::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(BROKEN_AT, line)
        .output()
        .unwrap();
    println!("{}", String::from_utf8_lossy(&ended.stderr));
    ended.status.code()
}

/// Goes on for a while with a member whose founders are these and a process that doesn't exist.
fn be_broken(line: &str, with_group: bool) {
    let code = run("test", async {
        let [own, silent] = listeners::<2>();
        let mut founders = vec![own.address()];
        if !with_group {
            founders.push(silent.address());
        }
        drop(silent);
        arm(line);
        let _member = start(own, &founders);
        sleep(BOUND / 2).await;
        Ok(())
    });
    assert_eq!(code, std::process::ExitCode::SUCCESS);
}

/// The process went on without a member, and answered all that a member answers.
#[test]
fn a_process_exits_when_the_task_that_looks_for_its_group_panics() {
    if let Ok(line) = std::env::var(BROKEN_AT) {
        return be_broken(&line, false);
    }
    let code = run_broken(
        "a_process_exits_when_the_task_that_looks_for_its_group_panics",
        "not in a group yet",
    );
    assert_eq!(code, Some(i32::from(EXIT_FAILURE)));
}

#[test]
fn a_process_exits_when_the_task_of_its_member_panics() {
    if let Ok(line) = std::env::var(BROKEN_AT) {
        return be_broken(&line, true);
    }
    let code = run_broken(
        "a_process_exits_when_the_task_of_its_member_panics",
        "member started",
    );
    assert_eq!(code, Some(i32::from(EXIT_FAILURE)));
}
