//! Batches while agents and targets fail: each item has one outcome, cancels stop at the engines,
//! and chat passes. The fakes' own record is the judge.

use std::{collections::BTreeMap, time::SystemTime};

use clem_checks::{
    Fleet, Options, RequestLine, Result, TargetOptions, chat, chat_body, eventually,
    eventually_value, expected,
};
use eyre::OptionExt;
use serde_json::{Value, json};

/// Steps that last long enough for a test to act while items run.
const SLOW: [&str; 2] = ["--step-us", "15000"];
/// Tokens of an item that does not end within a test.
const ENDLESS: u32 = 20_000;
/// How long a cancelled item may run on, in microseconds.
const CANCEL_MICROS: u64 = 3_000_000;

/// Two slow engines.
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

/// Hands in a batch for botez and returns its id.
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
    id.ok_or_eyre("no id")
}

/// The outcomes by the items' names; an item that comes twice is an error.
async fn outcomes(fleet: &Fleet, entry: usize, id: &str) -> Result<BTreeMap<String, Value>> {
    let bearer = fleet.bearer("botez")?;
    let url = fleet.entry_url(entry, &format!("/v1/batches/{id}/results"));
    let headers = [("authorization", bearer.as_str())];
    let reply = fleet.client.get(&url, &headers).await?.success()?;
    let mut outcomes = BTreeMap::new();
    for line in reply.text().lines() {
        let line: Value = serde_json::from_str(line)?;
        let name = line["custom_id"].as_str().ok_or_eyre("no custom id")?;
        let former = outcomes.insert(name.to_owned(), line.clone());
        eyre::ensure!(former.is_none(), "two outcomes: {line}");
    }
    Ok(outcomes)
}

/// Waits for all outcomes, and checks that each is the item's own answer, whole.
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

/// The items' streams that an engine holds.
fn open(lines: &[RequestLine]) -> usize {
    let chats = lines.iter().filter(|line| line.path.starts_with("/v1/"));
    chats.filter(|line| line.outcome == "open").count()
}

async fn running(fleet: &Fleet, target: usize, count: usize) -> Result<()> {
    eventually("items at the engine", async || {
        let lines = fleet.targets[target].requests().unwrap_or_default();
        open(&lines) >= count
    })
    .await
}

#[tokio::test]
async fn a_killed_agent_loses_and_doubles_nothing() -> Result<()> {
    let mut fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 24, 40).await?;
    running(&fleet, 0, 2).await?;
    fleet.targets[0].agent.kill()?;
    fleet.targets[0].agent.restart()?;
    all_done(&fleet, &id, 24, 40).await
}

#[tokio::test]
async fn a_killed_target_loses_and_doubles_nothing() -> Result<()> {
    let mut fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 16, 40).await?;
    running(&fleet, 0, 2).await?;
    fleet.targets[0].process.kill()?;
    fleet.targets[0].process.restart()?;
    all_done(&fleet, &id, 16, 40).await
}

#[tokio::test]
async fn a_lost_vm_and_a_lost_control_process_lose_and_double_nothing() -> Result<()> {
    let mut fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 24, 40).await?;
    running(&fleet, 0, 2).await?;
    // The VM of a target with its agent, and a control process, at the same time; then back.
    fleet.targets[0].agent.kill()?;
    fleet.targets[0].process.kill()?;
    fleet.control[0].kill()?;
    fleet.targets[0].process.restart()?;
    fleet.targets[0].agent.restart()?;
    fleet.control[0].restart()?;
    all_done(&fleet, &id, 24, 40).await
}

#[tokio::test]
async fn a_frozen_agents_late_results_change_nothing() -> Result<()> {
    let fleet = Fleet::start(options()).await?;
    let id = submit(&fleet, 8, 60).await?;
    running(&fleet, 0, 2).await?;
    fleet.targets[0].agent.freeze()?;
    // The other agent runs them all, once the frozen one's leases are over.
    all_done(&fleet, &id, 8, 60).await?;
    let before = outcomes(&fleet, 0, &id).await?;
    fleet.targets[0].agent.thaw()?;
    eventually("the thawed agent's streams to end", async || {
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
    // The items never end: a chat that stood behind them would not either.
    for n in 0..12 {
        let asked = format!("chat {n}");
        let reply = chat(&fleet, n % 2, "totara", &asked, 5).await?.success()?;
        let text = &reply.json()?["choices"][0]["message"]["content"];
        assert_eq!(*text, expected(&asked, 5));
    }
    Ok(())
}

#[tokio::test]
async fn a_poisonous_item_ends_as_poisoned_and_the_others_come_through() -> Result<()> {
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
        "it was sent to an engine after two crashes"
    );
    Ok(())
}
