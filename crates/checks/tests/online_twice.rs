//! Streams that lose their engine twice. A killed engine and then a lost VM must not cut a stream
//! short; two killed engines must end it with an error and spare the third engine.

use clem_checks::{
    Fleet, Options, ReplyStream, Result, TargetOptions, chat_body, eventually_value, expected,
    read_stream,
};
use eyre::ensure;

/// The only route of a fleet without a service.
const ROUTE: &str = "route.assistant = { model = \"assistant-7b\", version = 3 }  # asked by Ana";
/// Tokens of the answer; at 20 ms each there is time to inject two faults.
const TOKENS: u32 = 150;

async fn start() -> Result<Fleet> {
    Fleet::start(Options {
        targets: vec![TargetOptions::engine(&["--step-us", "20000"]); 3],
        rules: vec![ROUTE.to_owned()],
        ..Options::default()
    })
    .await
}

async fn open(fleet: &Fleet, content: &str) -> Result<ReplyStream> {
    let bearer = fleet.bearer("totara")?;
    let url = fleet.entry_url(0, "/v1/chat/completions");
    let headers = [("authorization", bearer.as_str())];
    let body = chat_body(content, TOKENS, true);
    fleet
        .client
        .open("POST".parse()?, &url, &headers, body)
        .await
}

/// Waits until an engine that is not among `lost` runs the request, and returns its index.
async fn runs_at(fleet: &Fleet, content: &str, lost: &[usize]) -> Result<usize> {
    eventually_value("the request to run", async || {
        for (index, target) in fleet.targets.iter().enumerate() {
            if lost.contains(&index) {
                continue;
            }
            let requests = target.requests().ok()?;
            let runs = |line: &clem_checks::RequestLine| {
                line.body.contains(content) && line.outcome == "open"
            };
            if requests.iter().any(runs) {
                return Some(index);
            }
        }
        None
    })
    .await
}

#[tokio::test]
async fn a_stream_is_resumed_after_losing_an_engine_and_then_a_vm() -> Result<()> {
    let mut fleet = start().await?;
    let content = "tell of the river";
    let mut stream = open(&fleet, content).await?;
    let first = runs_at(&fleet, content, &[]).await?;
    fleet.targets[first].process.kill()?;
    let second = runs_at(&fleet, content, &[first]).await?;
    fleet.targets[second].agent.kill()?;
    fleet.targets[second].process.kill()?;
    let answer = read_stream(&mut stream).await?;
    ensure!(
        answer == expected(content, TOKENS),
        "unexpected answer: {answer}"
    );
    Ok(())
}

#[tokio::test]
async fn a_stream_that_loses_two_engines_ends_with_an_error() -> Result<()> {
    let mut fleet = start().await?;
    let content = "tell of the lake";
    let mut stream = open(&fleet, content).await?;
    let first = runs_at(&fleet, content, &[]).await?;
    fleet.targets[first].process.kill()?;
    let second = runs_at(&fleet, content, &[first]).await?;
    fleet.targets[second].process.kill()?;
    let text = stream.text().await?;
    // Two engines died while running it, so it is treated as poisonous and not sent to a third.
    ensure!(
        !text.contains("[DONE]"),
        "the stream ended as complete: {text}"
    );
    ensure!(text.contains("\"error\""), "no error event: {text}");
    let third = 3 - first - second;
    let ran = fleet.targets[third].requests()?;
    ensure!(
        ran.iter().all(|line| !line.body.contains(content)),
        "a third engine received the request"
    );
    Ok(())
}
