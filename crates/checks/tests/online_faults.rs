//! Online requests under faults of real processes, checked against the request logs of the fakes.

use std::time::Duration;

use clem_checks::{
    Fleet, Options, ReplyStream, Result, TargetOptions, chat_body, eventually, expected,
    read_stream,
};
use eyre::ensure;

/// The only route of a fleet without a service.
const ROUTE: &str = "route.assistant = { model = \"assistant-7b\", version = 3 }  # asked by Ana";

/// Engines that take 20 ms per token, which gives a test time to inject a fault.
fn slow_engines(count: usize) -> Options {
    Options {
        targets: vec![TargetOptions::engine(&["--step-us", "20000"]); count],
        rules: vec![ROUTE.to_owned()],
        ..Options::default()
    }
}

async fn open_chat(fleet: &Fleet, entry: usize, content: &str, tokens: u32) -> Result<ReplyStream> {
    let bearer = fleet.bearer("totara")?;
    let url = fleet.entry_url(entry, "/v1/chat/completions");
    let headers = [("authorization", bearer.as_str())];
    let body = chat_body(content, tokens, true);
    fleet
        .client
        .open("POST".parse()?, &url, &headers, body)
        .await
}

/// Waits until an engine runs a request with this content, and returns its index.
async fn runs_at(fleet: &Fleet, content: &str) -> Result<usize> {
    let index = || {
        fleet.targets.iter().position(|target| {
            let requests = target.requests().unwrap_or_default();
            requests
                .iter()
                .any(|line| line.body.contains(content) && line.outcome == "open")
        })
    };
    eventually("the request to run", async || index().is_some()).await?;
    index().ok_or_else(|| eyre::eyre!("the request ended meanwhile"))
}

#[tokio::test]
async fn a_stream_is_resumed_after_its_engine_is_killed() -> Result<()> {
    let mut fleet = Fleet::start(slow_engines(2)).await?;
    let mut stream = open_chat(&fleet, 0, "tell of the forest", 60).await?;
    ensure!(stream.next().await?.is_some(), "a first event");
    let index = runs_at(&fleet, "tell of the forest").await?;
    fleet.targets[index].process.kill()?;
    let rest = read_rest(&mut stream).await?;
    ensure!(rest.ends_with("data: [DONE]\n\n"), "not whole: {rest}");
    let last = expected("tell of the forest", 60);
    let last = last
        .split_whitespace()
        .last()
        .unwrap_or_default()
        .to_owned();
    ensure!(
        rest.contains(&last),
        "the last token {last} is missing: {rest}"
    );
    ensure!(
        rest.matches("\"index\":59,").count() == 1,
        "the last token didn't arrive exactly once"
    );
    Ok(())
}

/// Reads the rest of a stream and checks the token indices for gaps and repeats.
async fn read_rest(stream: &mut ReplyStream) -> Result<String> {
    let text = stream.text().await?;
    let mut next = None;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: {") else {
            continue;
        };
        let event: serde_json::Value = serde_json::from_str(&format!("{{{data}"))?;
        let Some(index) = event["index"].as_u64() else {
            eyre::bail!("event without a token index: {data}");
        };
        ensure!(
            next.is_none_or(|next| next == index),
            "token index {index}, expected {next:?}"
        );
        next = Some(index + 1);
    }
    Ok(text)
}

#[tokio::test]
async fn a_stream_is_resumed_after_its_agent_is_killed() -> Result<()> {
    let mut fleet = Fleet::start(slow_engines(2)).await?;
    let mut stream = open_chat(&fleet, 1, "tell of the sea", 60).await?;
    ensure!(stream.next().await?.is_some(), "a first event");
    let index = runs_at(&fleet, "tell of the sea").await?;
    fleet.targets[index].agent.kill()?;
    let rest = read_rest(&mut stream).await?;
    ensure!(rest.ends_with("data: [DONE]\n\n"), "not whole: {rest}");
    Ok(())
}

#[tokio::test]
async fn a_refusal_with_a_frozen_agent_reports_correctly_whether_it_ran() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let desk = &fleet.targets[2];
    let bearer = fleet.bearer("totara")?;
    let headers = [("authorization", bearer.as_str())];
    let url = fleet.entry_url(0, "/svc/waitlist/confirm");
    fleet
        .client
        .post(&url, &headers, "family 0")
        .await?
        .success()?;
    desk.agent.freeze()?;
    let reply = fleet.client.post(&url, &headers, "family 1").await;
    desk.agent.thaw()?;
    let reply = reply?;
    ensure!(
        !reply.status.is_success(),
        "a success while the agent was frozen"
    );
    let ran = reply.header("x-clem-ran").to_owned();
    // A later success shows that the thawed agent had the time to send the request.
    eventually("the service to answer again", async || {
        let again = fleet.client.post(&url, &headers, "family 2").await;
        again.is_ok_and(|reply| reply.status.is_success())
    })
    .await?;
    let requests = desk.requests()?;
    let effects = requests
        .iter()
        .filter(|line| line.body == "family 1")
        .count();
    ensure!(
        ran == "maybe" || effects == 0,
        "x-clem-ran was {ran}, but it ran {effects} times"
    );
    ensure!(effects <= 1, "ran {effects} times");
    Ok(())
}

#[tokio::test]
async fn a_disconnected_caller_frees_its_slot() -> Result<()> {
    let fleet = Fleet::start(slow_engines(1)).await?;
    let mut stream = open_chat(&fleet, 0, "never read", 2000).await?;
    ensure!(stream.next().await?.is_some(), "a first event");
    runs_at(&fleet, "never read").await?;
    drop(stream);
    eventually("the engine to be free", async || {
        let requests = fleet.requests().unwrap_or_default();
        requests
            .iter()
            .any(|line| line.body.contains("never read") && line.end.is_some())
    })
    .await
}

#[tokio::test]
async fn a_withdrawn_key_ends_its_stream_and_is_refused_on_its_connection() -> Result<()> {
    let mut fleet = Fleet::start(slow_engines(1)).await?;
    let mut stream = open_chat(&fleet, 0, "a long story", 2000).await?;
    ensure!(stream.next().await?.is_some(), "a first event");
    let bearer = fleet.bearer("totara")?;
    fleet.rules.retain(|rule| !rule.starts_with("key.totara-1"));
    fleet.apply().await?;
    let rest = stream.text().await?;
    ensure!(
        rest.contains("key_withdrawn") && !rest.contains("[DONE]"),
        "{rest}"
    );
    let url = fleet.entry_url(0, "/v1/chat/completions");
    let headers = [("authorization", bearer.as_str())];
    let reply = fleet
        .client
        .post(&url, &headers, chat_body("again", 4, false))
        .await?;
    ensure!(reply.status.as_u16() == 401 && reply.header("x-clem-ran") == "no");
    Ok(())
}

#[tokio::test]
async fn a_graceful_stop_of_an_entry_interrupts_no_stream() -> Result<()> {
    let mut fleet = Fleet::start(slow_engines(2)).await?;
    let mut stream = open_chat(&fleet, 0, "to the end", 100).await?;
    runs_at(&fleet, "to the end").await?;
    fleet.entries[0].terminate()?;
    let answer = read_stream(&mut stream).await?;
    ensure!(
        answer == expected("to the end", 100),
        "unexpected answer: {answer}"
    );
    drop(stream);
    let status = fleet.entries[0].wait().await?;
    ensure!(status.success(), "{status}");
    Ok(())
}

/// The rate limit holds across two entries while one of them is frozen for a part of the time.
#[tokio::test]
async fn the_rate_limit_holds_across_entries_while_one_is_frozen() -> Result<()> {
    let options = Options {
        customers: vec![("totara", "5/s", 10)],
        ..Options::default()
    };
    let fleet = Fleet::start(options).await?;
    let bearer = fleet.bearer("totara")?;
    let mut tasks = Vec::new();
    for n in 0..400 {
        let url = fleet.entry_url(n % 2, "/svc/waitlist/confirm");
        let client = fleet.client.clone();
        let bearer = bearer.clone();
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(10 * n as u64)).await;
            let headers = [("authorization", bearer.as_str())];
            client.post(&url, &headers, format!("rate {n}")).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(1000)).await;
    fleet.entries[1].freeze()?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    fleet.entries[1].thaw()?;
    let mut answered = 0;
    for task in tasks {
        let Ok(reply) = task.await? else {
            continue;
        };
        if reply.status.is_success() {
            answered += 1;
        } else {
            ensure!(reply.header("x-clem-ran") == "no", "{}", reply.text());
        }
    }
    let mut starts: Vec<u64> = fleet.requests()?.iter().map(|line| line.start).collect();
    starts.sort_unstable();
    ensure!(
        starts.len() >= answered && answered > 10,
        "{answered} of {}",
        starts.len()
    );
    // Each window allows the burst, the rate, and one dispatch that was already under way.
    for first in 0..starts.len() {
        for last in first..starts.len() {
            let span = (starts[last] - starts[first]) as f64 / 1e6;
            let count = (last - first + 1) as f64;
            ensure!(count <= 10.0 + 5.0 * span + 1.0, "{count} within {span} s");
        }
    }
    Ok(())
}
