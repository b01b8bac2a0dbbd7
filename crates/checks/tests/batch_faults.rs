//! Batches while agents and targets fail: each item has exactly one outcome, cancellation reaches
//! the engines, and chat isn't delayed. The request logs of the fakes serve as ground truth.

use std::{collections::BTreeMap, time::SystemTime};

use clem_checks::{
    Fleet, Options, RequestLine, Result, TargetOptions, chat, chat_body, eventually,
    eventually_value, expected,
};
use eyre::OptionExt;
use serde_json::{Value, json};

/// Steps of 15 ms, which give a test time to act while items run.
const SLOW: [&str; 2] = ["--step-us", "15000"];
/// Tokens of an item that doesn't finish within a test.
const ENDLESS: u32 = 20_000;
/// How long a cancelled item may still run, in microseconds.
const CANCEL_MICROS: u64 = 3_000_000;

/// A fleet with two slow engines.
fn options() -> Options {
    Options {
        targets: vec![
            TargetOptions::engine(&SLOW),
            TargetOptions::engine(&SLOW),
            TargetOptions::service("desk", &[]),
        ],
        agent_args: vec!["--streams".to_owned(), "4".to_owned()],
        ..Options::default()
    }
}

fn content(item: u32) -> String {
    format!("letter {item}")
}

/// Submits a batch of the customer botez and returns its id.
async fn submit(fleet: &Fleet, items: u32, tokens: u32) -> Result<String> {
    let mut lines = String::new();
    for item in 0..items {
        let body: Value = serde_json::from_str(&chat_body(&content(item), tokens, false))?;
        let line = json!({"custom_id": content(item), "model": "assistant", "body": body});
        lines.push_str(&line.to_string());
        lines.push('\n');
    }
    let bearer = fleet.bearer("botez")?;
    let url = fleet.entry_url(0, "/v1/batches");
    let headers = [("authorization", bearer.as_str())];
    let reply = fleet.client.post(&url, &headers, lines).await?.success()?;
    let id = reply.json()?["id"].as_str().map(str::to_owned);
    id.ok_or_eyre("the answer has no id")
}

/// Reads the outcomes by custom id; a duplicate item is an error.
async fn outcomes(fleet: &Fleet, entry: usize, id: &str) -> Result<BTreeMap<String, Value>> {
    let bearer = fleet.bearer("botez")?;
    let url = fleet.entry_url(entry, &format!("/v1/batches/{id}/results"));
    let headers = [("authorization", bearer.as_str())];
    let reply = fleet.client.get(&url, &headers).await?.success()?;
    let mut outcomes = BTreeMap::new();
    for line in reply.text().lines() {
        let line: Value = serde_json::from_str(line)?;
        let name = line["custom_id"]
            .as_str()
            .ok_or_eyre("a result line has no custom id")?;
        let former = outcomes.insert(name.to_owned(), line.clone());
        eyre::ensure!(former.is_none(), "two outcomes: {line}");
    }
    Ok(outcomes)
}

/// Waits for all outcomes and checks that each is the complete answer to its item.
async fn all_done(fleet: &Fleet, id: &str, items: u32, tokens: u32) -> Result<()> {
    let what = format!("{items} outcomes");
    let all = eventually_value(&what, async || {
        let all = outcomes(fleet, 1, id).await.ok()?;
        (all.len() == items as usize).then_some(all)
    })
    .await?;
    for item in 0..items {
        let line = &all[&content(item)];
        assert_eq!(line["outcome"], "done", "{line}");
        let text = &line["body"]["choices"][0]["message"]["content"];
        assert_eq!(*text, expected(&content(item), tokens));
    }
    Ok(())
}

/// Counts the open chat streams in a request log.
fn open(lines: &[RequestLine]) -> usize {
    let chats = lines.iter().filter(|line| line.path.starts_with("/v1/"));
    chats.filter(|line| line.outcome == "open").count()
}

async fn running(fleet: &Fleet, target: usize, count: usize) -> Result<()> {
    eventually("items to run at the engine", async || {
        let lines = fleet.targets[target].requests().unwrap_or_default();
        open(&lines) >= count
    })
    .await
}

#[tokio::test]
async fn a_killed_agent_neither_loses_nor_duplicates_items() -> Result<()> {
    let mut fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 24, 40).await?;
    running(&fleet, 0, 2).await?;
    fleet.targets[0].agent.kill()?;
    fleet.targets[0].agent.restart()?;
    all_done(&fleet, &id, 24, 40).await
}

#[tokio::test]
async fn a_killed_target_neither_loses_nor_duplicates_items() -> Result<()> {
    let mut fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 16, 40).await?;
    running(&fleet, 0, 2).await?;
    fleet.targets[0].process.kill()?;
    fleet.targets[0].process.restart()?;
    all_done(&fleet, &id, 16, 40).await
}

#[tokio::test]
async fn losing_a_vm_and_a_control_process_neither_loses_nor_duplicates_items() -> Result<()> {
    let mut fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 24, 40).await?;
    running(&fleet, 0, 2).await?;
    // Loses the VM of a target with its agent and a control process at the same time, then restarts
    // them.
    fleet.targets[0].agent.kill()?;
    fleet.targets[0].process.kill()?;
    fleet.control[0].kill()?;
    fleet.targets[0].process.restart()?;
    fleet.targets[0].agent.restart()?;
    fleet.control[0].restart()?;
    all_done(&fleet, &id, 24, 40).await
}

#[tokio::test]
async fn late_results_of_a_frozen_agent_change_nothing() -> Result<()> {
    let fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 8, 60).await?;
    running(&fleet, 0, 2).await?;
    fleet.targets[0].agent.freeze()?;
    // The other agent runs all items once the leases of the frozen one have expired.
    all_done(&fleet, &id, 8, 60).await?;
    let before = outcomes(&fleet, 0, &id).await?;
    fleet.targets[0].agent.thaw()?;
    eventually("the streams of the thawed agent to end", async || {
        let lines = fleet.targets[0].requests().unwrap_or_default();
        open(&lines) == 0
    })
    .await?;
    assert_eq!(outcomes(&fleet, 0, &id).await?, before);
    Ok(())
}

#[tokio::test]
async fn a_cancelled_batch_stops_at_the_engines() -> Result<()> {
    let fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 20, ENDLESS).await?;
    for target in [0, 1] {
        running(&fleet, target, 2).await?;
    }
    let bearer = fleet.bearer("botez")?;
    let url = fleet.entry_url(1, &format!("/v1/batches/{id}/cancel"));
    let headers = [("authorization", bearer.as_str())];
    let asked = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    for _ in 0..2 {
        fleet.client.post(&url, &headers, "").await?.success()?;
    }
    eventually("all streams to end", async || {
        open(&fleet.requests().unwrap_or_default()) == 0
    })
    .await?;
    let lines = fleet.requests()?;
    let last = lines.iter().filter_map(|line| line.end).max();
    let took = last
        .unwrap_or(0)
        .saturating_sub(u64::try_from(asked.as_micros())?);
    println!("the last stream ended {took} us after the cancel");
    assert!(took <= CANCEL_MICROS, "{took} us");
    let all = eventually_value("all outcomes", async || {
        let all = outcomes(&fleet, 0, &id).await.ok()?;
        (all.len() == 20).then_some(all)
    })
    .await?;
    assert!(
        all.values().all(|line| line["outcome"] == "cancelled"),
        "{all:?}"
    );
    Ok(())
}

#[tokio::test]
async fn chat_does_not_wait_for_batch() -> Result<()> {
    let fleet = Fleet::start(options()).await?;
    submit(&fleet, 20, ENDLESS).await?;
    for target in [0, 1] {
        running(&fleet, target, 3).await?;
    }
    // The items don't finish within the test, so a chat queued behind them wouldn't either.
    for n in 0..12 {
        let asked = format!("chat {n}");
        let reply = chat(&fleet, n % 2, "totara", &asked, 5).await?.success()?;
        let text = &reply.json()?["choices"][0]["message"]["content"];
        assert_eq!(*text, expected(&asked, 5));
    }
    Ok(())
}

#[tokio::test]
async fn a_poisonous_item_ends_as_poisoned_and_the_others_complete() -> Result<()> {
    const ITEMS: u32 = 8;
    let args = [
        SLOW[0],
        SLOW[1],
        "--die-on",
        "letter 3\"",
        "--die-after",
        "2",
    ];
    let mut fleet = Fleet::start(Options {
        targets: vec![
            TargetOptions::engine(&args),
            TargetOptions::engine(&args),
            TargetOptions::service("desk", &[]),
        ],
        ..options()
    })
    .await?;
    let id = submit(&fleet, ITEMS, 10).await?;
    let all = eventually_value("all outcomes", async || {
        for target in &mut fleet.targets {
            if target.process.exited().ok()?.is_some() {
                target.process.restart().ok()?;
            }
        }
        let all = outcomes(&fleet, 0, &id).await.ok()?;
        (all.len() == ITEMS as usize).then_some(all)
    })
    .await?;
    for (name, line) in &all {
        let wanted = if *name == content(3) {
            "poisoned"
        } else {
            "done"
        };
        assert_eq!(line["outcome"], wanted, "{line}");
    }
    let lines = fleet.requests()?;
    let deadly = lines.iter().filter(|line| line.body.contains("letter 3\""));
    assert!(
        deadly.count() <= 2,
        "the item was sent to an engine after two crashes"
    );
    Ok(())
}
