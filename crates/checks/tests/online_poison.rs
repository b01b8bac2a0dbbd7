//! A request that crashes each engine that runs it. Without the limit of two crashes, retries and
//! resends would take it from engine to engine and interrupt the requests of all customers.

use clem_checks::{Fleet, Options, Result, TargetOptions, chat, chat_body, eventually, expected};
use eyre::ensure;

/// The only route of a fleet without a service.
const ROUTE: &str = "route.assistant = { model = \"assistant-7b\", version = 3 }  # asked by Ana";

#[tokio::test]
async fn poison_is_refused_after_two_crashes_and_other_requests_complete() -> Result<()> {
    let args = [
        "--step-us",
        "20000",
        "--die-on",
        "crash me",
        "--die-after",
        "3",
    ];
    let options = Options {
        targets: vec![TargetOptions::engine(&args); 4],
        rules: vec![ROUTE.to_owned()],
        ..Options::default()
    };
    let mut fleet = Fleet::start(options).await?;
    let runs = |fleet: &Fleet| -> Result<usize> {
        let requests = fleet.requests()?;
        Ok(requests
            .iter()
            .filter(|line| line.body.contains("crash me"))
            .count())
    };
    // Other requests run on all engines when the bad request arrives.
    let mut others = Vec::new();
    for n in 0..8 {
        let url = fleet.entry_url(n % 2, "/v1/chat/completions");
        let bearer = fleet.bearer("botez")?;
        let client = fleet.client.clone();
        others.push(tokio::spawn(async move {
            let content = format!("letter {n}");
            let headers = [("authorization", bearer.as_str())];
            let reply = client
                .post(&url, &headers, chat_body(&content, 80, false))
                .await;
            (content, reply)
        }));
    }
    eventually("the other requests to run", async || {
        fleet.requests().is_ok_and(|requests| requests.len() == 8)
    })
    .await?;
    let bad = chat(&fleet, 0, "totara", "crash me", 20).await?;
    ensure!(!bad.status.is_success(), "{}", bad.text());
    ensure!(runs(&fleet)? <= 2, "ran {} times", runs(&fleet)?);
    for other in others {
        let (content, reply) = other.await?;
        let reply = reply?.success()?;
        let answer = reply.json()?;
        let answer = answer["choices"][0]["message"]["content"].as_str();
        ensure!(
            answer == Some(&expected(&content, 80)),
            "{content}: {}",
            reply.text()
        );
    }
    // A resend through any entry is refused without crashing another engine.
    for entry in [1, 0, 1] {
        eventually("the refusal", async || {
            let again = chat(&fleet, entry, "totara", "crash me", 20).await;
            again.is_ok_and(|reply| reply.status.as_u16() == 422)
        })
        .await?;
    }
    ensure!(runs(&fleet)? <= 2, "ran {} times", runs(&fleet)?);
    // With the crashed engines restarted, other requests of the same customer run.
    for target in &mut fleet.targets {
        if target.process.exited()?.is_some() {
            target.process.restart()?;
        }
    }
    let good = chat(&fleet, 0, "totara", "be kind", 4).await?;
    ensure!(good.status.is_success(), "{}", good.text());
    Ok(())
}
