//! A rolling restart of every process under load.
//!
//! A minimal load balancer polls `/readyz` of the entries and sends each request to an entry that
//! was ready at the last poll, as the platform's balancer does.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use clem_checks::{
    Client, Fleet, Options, Process, Result, TargetOptions, chat_body, eventually_value, expected,
    read_stream,
};
use eyre::{WrapErr, ensure};

/// The polling interval of the balancer.
const BALANCER_INTERVAL: Duration = Duration::from_millis(250);
/// The pause between two requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(40);
/// Concurrent callers, each of which sends one request after the other.
const CALLERS: u64 = 4;
/// Tokens of each answer.
const TOKENS: u32 = 12;
/// The only route of the fleet.
const ROUTE: &str = "route.assistant = { model = \"assistant-7b\", version = 3 }  # asked by Ana";

/// The balancer's view of the entries.
struct Balancer {
    urls: Vec<String>,
    ready: Vec<AtomicBool>,
    next: AtomicUsize,
}

impl Balancer {
    fn new(fleet: &Fleet) -> Self {
        let count = fleet.entries.len();
        let urls = (0..count).map(|index| fleet.entry_url(index, "")).collect();
        let ready = (0..count).map(|_| AtomicBool::new(true)).collect();
        Self {
            urls,
            ready,
            next: AtomicUsize::new(0),
        }
    }

    /// The URL of the next ready entry, or of any entry when none is ready.
    fn pick(&self) -> &str {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        for step in 0..self.urls.len() {
            let index = (start + step) % self.urls.len();
            if self.ready[index].load(Ordering::Relaxed) {
                return &self.urls[index];
            }
        }
        &self.urls[start % self.urls.len()]
    }

    async fn watch(&self) {
        loop {
            for (url, ready) in self.urls.iter().zip(&self.ready) {
                // Uses a new connection for each probe, as a balancer does.
                let reply = Client::new().get(&format!("{url}/readyz"), &[]).await;
                let is_ready = reply.is_ok_and(|reply| reply.status.is_success());
                ready.store(is_ready, Ordering::Relaxed);
            }
            tokio::time::sleep(BALANCER_INTERVAL).await;
        }
    }
}

/// State shared with the callers.
#[derive(Default)]
struct CallerState {
    completed: AtomicU64,
    stop: AtomicBool,
}

async fn send_requests(
    balancer: Arc<Balancer>,
    shared: Arc<CallerState>,
    caller: u64,
    bearer: String,
) -> Result<()> {
    let client = Client::new();
    let headers = [("authorization", bearer.as_str())];
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        number += 1;
        let content = format!("caller {caller} asks {number}");
        let url = format!("{}/v1/chat/completions", balancer.pick());
        let body = chat_body(&content, TOKENS, true);
        let mut stream = client
            .open("POST".parse()?, &url, &headers, body)
            .await
            .wrap_err_with(|| format!("{content} through {url}"))?;
        if !stream.status.is_success() {
            let status = stream.status;
            eyre::bail!("{content} through {url}: {status} {}", stream.text().await?);
        }
        let answer = read_stream(&mut stream)
            .await
            .wrap_err_with(|| content.clone())?;
        ensure!(
            answer == expected(&content, TOKENS),
            "{content}: unexpected answer: {answer}"
        );
        shared.completed.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    Ok(())
}

async fn stop_and_start(process: &mut Process) -> Result<()> {
    process.terminate()?;
    let status = process.wait().await?;
    ensure!(status.success(), "{} ended with {status}", process.name());
    process.restart()
}

#[tokio::test]
async fn a_rolling_restart_under_load_interrupts_no_stream() -> Result<()> {
    let mut fleet = Fleet::start(Options {
        targets: vec![TargetOptions::engine(&["--step-us", "10000"]); 3],
        customers: vec![("totara", "400/s", 800)],
        rules: vec![ROUTE.to_owned()],
        ..Options::default()
    })
    .await?;
    let balancer = Arc::new(Balancer::new(&fleet));
    let shared = Arc::new(CallerState::default());
    let watching = Arc::clone(&balancer);
    let watch = tokio::spawn(async move { watching.watch().await });
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let bearer = fleet.bearer("totara")?;
        let call = send_requests(Arc::clone(&balancer), Arc::clone(&shared), caller, bearer);
        callers.push(tokio::spawn(call));
    }

    let entries = fleet.entries.len();
    for index in 0..fleet.targets.len() {
        let target = &mut fleet.targets[index];
        stop_and_start(&mut target.agent).await?;
        fleet.wait_for_targets(0, 3).await?;
        fleet.wait_for_targets(1, 3).await?;
    }
    for index in 0..entries {
        stop_and_start(&mut fleet.entries[index]).await?;
        fleet.wait_for_entry(index).await?;
        fleet.wait_for_targets(index, 3).await?;
        // The balancer must see the entry as ready before the next one stops.
        eventually_value("the balancer to see the entry as ready", async || {
            balancer.ready[index].load(Ordering::Relaxed).then_some(())
        })
        .await?;
    }
    for index in 0..fleet.control.len() {
        stop_and_start(&mut fleet.control[index]).await?;
        members_caught_up(&fleet).await?;
    }

    shared.stop.store(true, Ordering::Relaxed);
    watch.abort();
    for caller in callers {
        caller.await??;
    }
    let completed = shared.completed.load(Ordering::Relaxed);
    println!("MEASURED complete answers during the rolling restart: {completed}");
    ensure!(completed > 100, "only {completed} requests completed");
    Ok(())
}

/// Waits until all members of the control group are voters at the same log position.
async fn members_caught_up(fleet: &Fleet) -> Result<()> {
    eventually_value("three members at the same log position", async || {
        let output = fleet.ctl(&["members"]).await.ok()?;
        let text = String::from_utf8(output.stdout).ok()?;
        let positions: Vec<&str> = text
            .lines()
            .filter_map(|line| line.rsplit(' ').next())
            .collect();
        let same = positions.len() == 3 && positions.iter().all(|at| *at == positions[0]);
        (same && !text.contains("learner")).then_some(())
    })
    .await
}
