//! With a full disk new batches are refused and accepted ones are kept.

use clem_checks::{Fleet, Options, Result, chat, chat_body, eventually, eventually_value};
use serde_json::{Value, json};

/// A reserve in bytes that exceeds any disk, so that every disk counts as full.
const IMPOSSIBLE_RESERVE: &str = "9223372036854775807";

fn one_item(name: &str) -> String {
    let body: Value = serde_json::from_str(&chat_body(name, 3, false)).unwrap_or_default();
    json!({"custom_id": name, "model": "assistant", "body": body}).to_string() + "\n"
}

#[tokio::test]
async fn a_full_disk_refuses_new_batches_and_keeps_the_accepted_ones() -> Result<()> {
    let mut fleet = Fleet::start(Options::default()).await?;
    let bearer = fleet.bearer("botez")?;
    let headers = [("authorization", bearer.as_str())];
    let batches = fleet.entry_url(0, "/v1/batches");
    let reply = fleet
        .client
        .post(&batches, &headers, one_item("kept"))
        .await?;
    let id = reply.success()?.json()?["id"].clone();
    let id = id.as_str().expect("an id").to_owned();

    for process in &mut fleet.control {
        process.kill()?;
        let mut args = process.args().to_vec();
        args.extend(["--disk-reserve".to_owned(), IMPOSSIBLE_RESERVE.to_owned()]);
        process.restart_with(args)?;
    }
    fleet.wait_ready().await?;
    let refused = eventually_value("a refusal with code full", async || {
        let reply = fleet
            .client
            .post(&batches, &headers, one_item("more"))
            .await
            .ok()?;
        (reply.error_code().ok()? == "full").then_some(reply)
    })
    .await?;
    assert_eq!(refused.header("x-clem-ran"), "no");
    assert!(refused.text().contains("disk"), "{}", refused.text());

    // The accepted batch still runs and can be read. Chat doesn't depend on the disk.
    let results = fleet.entry_url(1, &format!("/v1/batches/{id}/results"));
    eventually("the result of the accepted batch", async || {
        let reply = fleet.client.get(&results, &headers).await;
        reply.is_ok_and(|reply| reply.text().contains("\"done\""))
    })
    .await?;
    assert_eq!(chat(&fleet, 0, "totara", "hello", 2).await?.status, 200);
    Ok(())
}
