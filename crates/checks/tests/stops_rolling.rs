//! A rolling restart of every process under load.
//!
//! The load comes through a stand-in of the platform's balancer, which asks `/readyz` now and
//! then and sends each request to a process that was ready when it last asked.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use clem_checks::{
    Client, Fleet, Options, Process, Result, TargetOptions, chat_body, eventually_value, expected,
    streamed,
};
use eyre::{WrapErr, ensure};

/// How often the balancer asks.
const BALANCER_INTERVAL: Duration = Duration::from_millis(250);
/// The pause between two requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(40);
/// Callers that send one request after the other.
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
        let urls = (0..count).map(|place| fleet.entry_url(place, "")).collect();
        let ready = (0..count).map(|_| AtomicBool::new(true)).collect();
        Self {
            urls,
            ready,
            next: AtomicUsize::new(0),
        }
    }

    /// The next ready entry's address; any when none is ready.
    fn pick(&self) -> &str {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        for step in 0..self.urls.len() {
            let place = (start + step) % self.urls.len();
            if self.ready[place].load(Ordering::Relaxed) {
                return &self.urls[place];
            }
        }
        &self.urls[start % self.urls.len()]
    }

    async fn watch(&self) {
        loop {
            for (url, ready) in self.urls.iter().zip(&self.ready) {
                // A connection of its own each time, as a balancer's probe has.
                let reply = Client::new().get(&format!("{url}/readyz"), &[]).await;
                let is_ready = reply.is_ok_and(|reply| reply.status.is_success());
                ready.store(is_ready, Ordering::Relaxed);
            }
            tokio::time::sleep(BALANCER_INTERVAL).await;
        }
    }
}

/// What the callers have seen.
#[derive(Default)]
struct Seen {
    whole: AtomicU64,
    stop: AtomicBool,
}

async fn call_again_and_again(
    balancer: Arc<Balancer>,
    seen: Arc<Seen>,
    caller: u64,
    bearer: String,
) -> Result<()> {
    let client = Client::new();
    let headers = [("authorization", bearer.as_str())];
    let mut number = 0;
    while !seen.stop.load(Ordering::Relaxed) {
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
        let answer = streamed(&mut stream)
            .await
            .wrap_err_with(|| content.clone())?;
        ensure!(
            answer == expected(&content, TOKENS),
            "{content}: another answer: {answer}"
        );
        seen.whole.fetch_add(1, Ordering::Relaxed);
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
async fn a_rolling_restart_under_load_cuts_off_nothing() -> Result<()> {
    let mut fleet = Fleet::start(Options {
        targets: vec![TargetOptions::engine(&["--step-us", "10000"]); 3],
        customers: vec![("totara", "400/s", 800)],
        rules: vec![ROUTE.to_owned()],
        ..Options::default()
    })
    .await?;
    let balancer = Arc::new(Balancer::new(&fleet));
    let seen = Arc::new(Seen::default());
    let watching = Arc::clone(&balancer);
    let watch = tokio::spawn(async move { watching.watch().await });
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let bearer = fleet.bearer("totara")?;
        let call = call_again_and_again(Arc::clone(&balancer), Arc::clone(&seen), caller, bearer);
        callers.push(tokio::spawn(call));
    }

    let entries = fleet.entries.len();
    for place in 0..fleet.targets.len() {
        let target = &mut fleet.targets[place];
        stop_and_start(&mut target.agent).await?;
        fleet.knows_targets(0, 3).await?;
        fleet.knows_targets(1, 3).await?;
    }
    for place in 0..entries {
        stop_and_start(&mut fleet.entries[place]).await?;
        fleet.entry_ready(place).await?;
        fleet.knows_targets(place, 3).await?;
        // The balancer must have seen it before the next one stops.
        eventually_value("the balancer to see it", async || {
            balancer.ready[place].load(Ordering::Relaxed).then_some(())
        })
        .await?;
    }
    for place in 0..fleet.control.len() {
        stop_and_start(&mut fleet.control[place]).await?;
        members_at_one_place(&fleet).await?;
    }

    seen.stop.store(true, Ordering::Relaxed);
    watch.abort();
    for caller in callers {
        caller.await??;
    }
    let whole = seen.whole.load(Ordering::Relaxed);
    println!("MEASURED whole answers during the rolling restart: {whole}");
    ensure!(whole > 100, "only {whole} requests were sent");
    Ok(())
}

/// Waits until all members of the control group are at the same place of the log.
async fn members_at_one_place(fleet: &Fleet) -> Result<()> {
    eventually_value("three members at one place of the log", async || {
        let output = fleet.ctl(&["members"]).await.ok()?;
        let text = String::from_utf8(output.stdout).ok()?;
        let places: Vec<&str> = text
            .lines()
            .filter_map(|line| line.rsplit(' ').next())
            .collect();
        let same = places.len() == 3 && places.iter().all(|place| *place == places[0]);
        (same && !text.contains("learner")).then_some(())
    })
    .await
}
