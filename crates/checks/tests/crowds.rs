//! Crowds of callers whose requests are too large together: entries stay within their memory.

use std::{fs, net::SocketAddr, time::Duration};

use clem_checks::{Fleet, Options, Process, Result, chat, eventually};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Memory limit of the entries, in megabytes.
const MEMORY_LIMIT_MB: u64 = 120;
/// Callers at once; their bodies together exceed the memory limit more than three times.
const CALLERS: usize = 100;
/// Largest body of an entry by default, in bytes.
const BODY_BYTES: usize = 4_194_304;
/// How far the bodies stop short of their end, in bytes.
const SHORT_BYTES: usize = 1000;
/// Whole chats at once.
const WHOLE_CHATS: usize = 200;
/// Memory of an entry that passes on as many whole chats as there are in the test of agents, in megabytes, and their
/// number.
const LARGE_ENTRY_MB: u64 = 4096;
const AGENT_CHATS: usize = 80;
/// Length that is announced by callers far beyond the limit.
const HUGE_BYTES: usize = 400_000_000;
/// Descriptors of a process: a caller's and an agent's connection for each caller, and some of its own.
const DESCRIPTORS: usize = 2 * CALLERS + 100;
/// The same for whole chats.
const CHAT_DESCRIPTORS: usize = 2 * WHOLE_CHATS + 100;
/// How long a caller may take to write; one that is not read any more stops there.
const WRITE_TIME: Duration = Duration::from_secs(15);
/// How long the crowd stays after it has written.
const HELD_TIME: Duration = Duration::from_secs(5);

/// Tests of this file load the whole machine, so they run one at a time.
static MACHINE: Mutex<()> = Mutex::const_new(());

/// A fleet whose agents have the memory limit, and its entries this one.
async fn fleet(entry_limit_mb: u64) -> Result<Fleet> {
    let limit = |megabytes: u64| vec!["--memory-mb".to_owned(), megabytes.to_string()];
    Fleet::start(Options {
        entry_args: limit(entry_limit_mb),
        agent_args: limit(MEMORY_LIMIT_MB),
        customers: vec![("totara", "5000/s", 5000), ("botez", "40/s", 80)],
        ..Options::default()
    })
    .await
}

/// A request whose body stops short of its end.
fn unfinished(fleet: &Fleet, path: &str, announced: usize) -> Result<Vec<u8>> {
    let bearer = fleet.bearer("totara")?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: {bearer}\r\ncontent-length: {announced}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - SHORT_BYTES, b'x');
    Ok(bytes)
}

/// Writes a request as far as it is read, and keeps the connection.
async fn write(address: SocketAddr, bytes: Vec<u8>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    // A refusal or a closed connection is allowed.
    let _ = timeout(WRITE_TIME, stream.write_all(&bytes)).await;
    Some(stream)
}

/// Asserts that a process runs within its limits.
fn assert_within_limits(process: &mut Process) -> Result<()> {
    assert_within(process, DESCRIPTORS)
}

/// Asserts that a process runs within the memory limit, with this many descriptors at most.
fn assert_within(process: &mut Process, descriptors: usize) -> Result<()> {
    assert!(process.exited()?.is_none(), "{} runs", process.name());
    let peak = peak_memory_mb(process)?;
    let open = fs::read_dir(format!("/proc/{}/fd", process.pid()))?.count();
    eprintln!("{}: peak {peak} MB, {open} descriptors", process.name());
    assert!(peak <= MEMORY_LIMIT_MB, "{peak} MB");
    assert!(open <= descriptors, "{open} descriptors");
    Ok(())
}

fn peak_memory_mb(process: &Process) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.pid()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    Ok(kilobytes.expect("a size").parse::<u64>()? / 1024)
}

/// Asserts that an entry holds within its limits while callers keep such requests open, and that it answers another
/// customer's ordinary request then.
async fn withstand(path: &str, announced: usize) -> Result<()> {
    let mut fleet = fleet(MEMORY_LIMIT_MB).await?;
    let address = fleet.entry_address(0);
    let bytes = unfinished(&fleet, path, announced)?;
    let mut crowd = JoinSet::new();
    for _ in 0..CALLERS {
        crowd.spawn(write(address, bytes.clone()));
    }
    let streams = crowd.join_all().await;
    sleep(HELD_TIME).await;
    assert_within_limits(&mut fleet.entries[0])?;
    eventually("an ordinary request is answered", async || {
        let reply = chat(&fleet, 0, "botez", "hello", 4).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await?;
    drop(streams);
    Ok(())
}

/// Guards against bodies that are bounded one by one only.
#[tokio::test]
async fn chats_that_stop_short_exceed_no_memory_limit_of_an_entry() -> Result<()> {
    let _machine = MACHINE.lock().await;
    withstand("/v1/chat/completions", BODY_BYTES).await
}

/// Guards against bodies that are bounded one by one only.
#[tokio::test]
async fn calls_of_services_that_stop_short_exceed_no_memory_limit_of_an_entry() -> Result<()> {
    let _machine = MACHINE.lock().await;
    withstand("/svc/waitlist/x", BODY_BYTES).await
}

/// Guards against reading bodies that are announced as too long.
#[tokio::test]
async fn chats_announced_as_too_long_exceed_no_memory_limit_of_an_entry() -> Result<()> {
    let _machine = MACHINE.lock().await;
    withstand("/v1/chat/completions", HUGE_BYTES).await
}

/// A whole chat whose prompt is about as long as a body may be.
fn whole_chat(fleet: &Fleet) -> Result<Vec<u8>> {
    let prompt = "x".repeat(BODY_BYTES - SHORT_BYTES);
    let body = format!(
        r#"{{"model":"assistant","max_tokens":4,"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    let bearer = fleet.bearer("totara")?;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: {bearer}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    Ok([head.as_bytes(), body.as_bytes()].concat())
}

/// Sends whole chats at once, and asserts that the agents hold within their limits and an ordinary request is
/// answered then.
async fn send_whole_chats(fleet: &mut Fleet, count: usize) -> Result<()> {
    let address = fleet.entry_address(0);
    let bytes = whole_chat(fleet)?;
    let mut crowd = JoinSet::new();
    for _ in 0..count {
        crowd.spawn(write(address, bytes.clone()));
    }
    let streams = crowd.join_all().await;
    sleep(HELD_TIME).await;
    for target in &mut fleet.targets {
        assert_within(&mut target.agent, CHAT_DESCRIPTORS)?;
    }
    eventually("an ordinary request is answered", async || {
        let reply = chat(fleet, 0, "botez", "hello", 4).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await?;
    drop(streams);
    Ok(())
}

/// Guards against whole requests that are bounded one by one only.
#[tokio::test]
async fn whole_chats_at_once_exceed_no_memory_limit_of_an_entry() -> Result<()> {
    let _machine = MACHINE.lock().await;
    let mut fleet = fleet(MEMORY_LIMIT_MB).await?;
    send_whole_chats(&mut fleet, WHOLE_CHATS).await?;
    assert_within(&mut fleet.entries[0], CHAT_DESCRIPTORS)
}

/// Guards against agents that rely on the limits of the entries, of which there may be many.
#[tokio::test]
async fn whole_chats_at_once_exceed_no_memory_limit_of_an_agent() -> Result<()> {
    let _machine = MACHINE.lock().await;
    let mut fleet = fleet(LARGE_ENTRY_MB).await?;
    send_whole_chats(&mut fleet, AGENT_CHATS).await
}

/// Guards against long lines of batches that are bounded one by one only.
#[tokio::test]
async fn batches_that_stop_short_exceed_no_memory_limit_of_an_entry() -> Result<()> {
    let _machine = MACHINE.lock().await;
    withstand("/v1/batches", BODY_BYTES).await
}

/// Callers whose heads don't end, and how much of a head they send; together these are most of the memory limit.
const HEAD_CALLERS: usize = 1500;
const HEAD_BYTES: usize = 60_000;
/// Descriptors of an entry with these callers.
const HEAD_DESCRIPTORS: usize = HEAD_CALLERS + 100;

/// Guards against heads that are bounded one by one only.
#[tokio::test]
async fn heads_that_do_not_end_exceed_no_memory_limit_of_an_entry() -> Result<()> {
    let _machine = MACHINE.lock().await;
    let mut fleet = fleet(MEMORY_LIMIT_MB).await?;
    let address = fleet.entry_address(0);
    let mut head = b"GET /svc/hours/x HTTP/1.1\r\nhost: entry\r\nx-filler: ".to_vec();
    head.resize(HEAD_BYTES, b'f');
    let mut crowd = JoinSet::new();
    for _ in 0..HEAD_CALLERS {
        crowd.spawn(write(address, head.clone()));
    }
    let streams = crowd.join_all().await;
    sleep(HELD_TIME).await;
    assert_within(&mut fleet.entries[0], HEAD_DESCRIPTORS)?;
    eventually("an ordinary request is answered", async || {
        let reply = chat(&fleet, 0, "botez", "hello", 4).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await?;
    drop(streams);
    Ok(())
}
