//! Batch items through a real agent; the request log of a fake engine shows what was sent.

mod support;

use std::collections::BTreeMap;

use clem_checks::{RequestLine, Result, eventually, expected};
use clem_types::Attempt;
use clem_wire::{
    batch::{AttemptEnd, Recorded},
    dispatch::Event,
};
use support::{Harness, item, text};

const SLOW: [&str; 2] = ["--step-us", "20000"];

/// The content of a finished item, or the `Debug` text of any other end.
fn content(end: &AttemptEnd) -> String {
    let AttemptEnd::Done { status: 200, body } = end else {
        return format!("{end:?}");
    };
    let json: serde_json::Value = serde_json::from_str(body).expect("the result is JSON");
    let content = json["choices"][0]["message"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}

async fn ends(harness: &Harness, count: usize) -> Result<Vec<AttemptEnd>> {
    eventually(&format!("{count} ends"), async || {
        harness.control.read(|state| state.ends.len() >= count)
    })
    .await?;
    let ends = harness.control.read(|state| state.ends.clone());
    Ok(ends.into_iter().map(|end| end.end).collect())
}

async fn running(harness: &Harness, count: usize) -> Result<()> {
    eventually(&format!("{count} items at the engine"), async || {
        let open = |line: &&RequestLine| line.outcome == "open";
        let lines = harness.requests().unwrap_or_default();
        lines.iter().filter(open).count() >= count
    })
    .await
}

/// How often each item was sent to the engine without `resume`, by its content.
fn starts(lines: &[RequestLine]) -> BTreeMap<String, usize> {
    let mut starts = BTreeMap::new();
    for line in lines {
        let json: serde_json::Value = serde_json::from_str(&line.body).unwrap_or_default();
        if json.get("resume").is_some() {
            continue;
        }
        let content = json["messages"][0]["content"].as_str().unwrap_or("");
        *starts.entry(content.to_owned()).or_default() += 1;
    }
    starts
}

#[tokio::test]
async fn leased_items_run_once_and_are_reported_in_full() -> Result<()> {
    let harness = Harness::start("engine", &[], &[]).await?;
    harness.control.change(|state| {
        state
            .items
            .extend((0..40).map(|n| item(n, &format!("letter {n}"), 10)));
    });
    let ends = ends(&harness, 40).await?;
    let mut contents: Vec<_> = ends.iter().map(content).collect();
    let mut wanted: Vec<_> = (0..40)
        .map(|n| expected(&format!("letter {n}"), 10))
        .collect();
    contents.sort();
    wanted.sort();
    assert_eq!(contents, wanted);
    let starts = starts(&harness.requests()?);
    assert_eq!(starts.len(), 40);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
    Ok(())
}

#[tokio::test]
async fn a_burst_of_chat_parks_batch_items_which_later_finish_in_full() -> Result<()> {
    let harness = Harness::start("engine", &SLOW, &["--streams", "4"]).await?;
    harness.control.change(|state| {
        state
            .items
            .extend((0..4).map(|n| item(n, &format!("letter {n}"), 60)));
    });
    running(&harness, 4).await?;
    let chats = (0..4).map(|n| harness.chat(100 + n, &format!("chat {n}"), 10));
    let chats: Vec<_> = chats.collect();
    let answers = futures_util::future::join_all(chats.iter().map(|c| harness.run(c))).await;
    for (n, answer) in answers.into_iter().enumerate() {
        assert_eq!(text(&answer?), expected(&format!("chat {n}"), 10));
    }
    let ends = ends(&harness, 4).await?;
    let mut contents: Vec<_> = ends.iter().map(content).collect();
    let mut wanted: Vec<_> = (0..4)
        .map(|n| expected(&format!("letter {n}"), 60))
        .collect();
    contents.sort();
    wanted.sort();
    assert_eq!(contents, wanted, "a token was lost or repeated by parking");
    let lines = harness.requests()?;
    let left = lines.iter().filter(|line| {
        line.outcome == "parked" || line.outcome == "cancelled" || line.outcome == "dropped"
    });
    assert!(left.count() >= 3, "chat preempted too few batch items");
    Ok(())
}

#[tokio::test]
async fn cancelled_items_stop_at_the_engine() -> Result<()> {
    let harness = Harness::start("engine", &SLOW, &[]).await?;
    let items: Vec<_> = (0..3)
        .map(|n| item(n, &format!("letter {n}"), 5000))
        .collect();
    let leases: Vec<_> = items.iter().map(|item| item.lease).collect();
    harness.control.change(|state| state.items.extend(items));
    running(&harness, 3).await?;
    // One is cancelled by the lease call, the others by the sync call.
    harness.control.change(|state| {
        state.stop = vec![leases[0]];
        state.cancelled = vec![leases[1].item, leases[2].item];
    });
    eventually("the streams to end at the engine", async || {
        let lines = harness.requests().unwrap_or_default();
        lines
            .iter()
            .all(|line| line.outcome == "cancelled" || line.outcome == "dropped")
    })
    .await?;
    assert!(harness.control.read(|state| state.ends.is_empty()));
    Ok(())
}

#[tokio::test]
async fn an_item_whose_lease_expires_is_stopped() -> Result<()> {
    let harness = Harness::start("engine", &SLOW, &[]).await?;
    harness.control.change(|state| {
        state.item_lease_ms = 1500;
        state.items.push_back(item(0, "letter", 5000));
    });
    running(&harness, 1).await?;
    harness.control.change(|state| state.answers = false);
    eventually("the stream to end at the engine", async || {
        let lines = harness.requests().unwrap_or_default();
        lines.iter().all(|line| line.outcome != "open")
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn results_are_kept_until_the_leader_accepts_them() -> Result<()> {
    let harness = Harness::start("engine", &SLOW, &[]).await?;
    harness.control.change(|state| {
        state.item_lease_ms = 20_000;
        state.items.push_back(item(0, "letter", 20));
    });
    running(&harness, 1).await?;
    harness.control.change(|state| state.answers = false);
    harness.outcome(0, "done").await?;
    assert!(harness.control.read(|state| state.ends.is_empty()));
    harness.control.change(|state| state.answers = true);
    let ends = ends(&harness, 1).await?;
    assert_eq!(content(&ends[0]), expected("letter", 20));
    Ok(())
}

#[tokio::test]
async fn a_stale_result_is_dropped_and_the_agent_continues() -> Result<()> {
    let harness = Harness::start("engine", &[], &[]).await?;
    harness.control.change(|state| {
        state.recorded = Recorded::Stale;
        state.items.push_back(item(0, "letter", 5));
    });
    ends(&harness, 1).await?;
    harness.control.change(|state| {
        state.recorded = Recorded::Yes;
        let mut again = item(0, "letter", 5);
        again.lease.attempt = Attempt(2);
        state.items.push_back(again);
    });
    let ends = ends(&harness, 2).await?;
    assert_eq!(content(&ends[1]), expected("letter", 5));
    Ok(())
}

#[tokio::test]
async fn items_in_flight_at_a_crash_are_lost_and_queued_ones_returned() -> Result<()> {
    let mut harness = Harness::start("engine", &SLOW, &["--streams", "2"]).await?;
    harness.control.change(|state| {
        state
            .items
            .extend((0..3).map(|n| item(n, &format!("letter {n}"), 5000)));
    });
    running(&harness, 2).await?;
    harness.target.kill()?;
    let ends = ends(&harness, 3).await?;
    let lost = |end: &&AttemptEnd| **end == AttemptEnd::Lost { crashed: true };
    assert_eq!(ends.iter().filter(lost).count(), 2, "{ends:?}");
    assert!(ends.contains(&AttemptEnd::Returned));
    assert_eq!(
        harness
            .control
            .read(|state| state.crashes[0].requests.len()),
        2
    );
    Ok(())
}

#[tokio::test]
async fn a_graceful_shutdown_returns_queued_items() -> Result<()> {
    let mut harness = Harness::start("engine", &SLOW, &["--streams", "2"]).await?;
    harness.control.change(|state| {
        state
            .items
            .extend((0..3).map(|n| item(n, &format!("letter {n}"), 40)));
    });
    running(&harness, 2).await?;
    harness.agent.terminate()?;
    let ends = ends(&harness, 3).await?;
    let done = ends
        .iter()
        .filter(|end| matches!(end, AttemptEnd::Done { .. }));
    assert_eq!(done.count(), 2, "{ends:?}");
    assert!(ends.contains(&AttemptEnd::Returned));
    assert_eq!(harness.agent.wait().await?.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn a_started_item_that_is_not_idempotent_is_never_returned() -> Result<()> {
    let mut harness = Harness::start("engine", &SLOW, &["--stop-timeout-ms", "300"]).await?;
    harness.control.change(|state| {
        let mut once = item(0, "letter", 5000);
        once.content.idempotent = false;
        state.items.push_back(once);
        state.items.push_back(item(1, "other", 5000));
    });
    running(&harness, 2).await?;
    harness.agent.terminate()?;
    ends(&harness, 2).await?;
    let ends = harness.control.read(|state| state.ends.clone());
    for end in ends {
        let wanted = if end.lease.item.item.0 == 0 {
            AttemptEnd::Lost { crashed: false }
        } else {
            AttemptEnd::Returned
        };
        assert_eq!(end.end, wanted);
    }
    assert_eq!(harness.agent.wait().await?.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn chat_does_not_wait_behind_a_long_batch_prompt() -> Result<()> {
    // At 1 ms per prompt token the long prompt would occupy the engine for seconds.
    let target = ["--prefill-us-per-token", "1000", "--prefill-chunk", "64"];
    let harness = Harness::start("engine", &target, &["--streams", "2"]).await?;
    let mut chat = harness.send(&harness.chat(1, "hello", 500)).await?;
    chat.until(|event| matches!(event, Event::Token { .. }))
        .await?;
    harness
        .control
        .change(|state| state.items.push_back(item(0, &"long ".repeat(4000), 5)));
    let rest = chat.rest().await?;
    assert!(matches!(rest.last(), Some(Event::End { .. })));
    let lines = harness.requests()?;
    assert_eq!(
        lines.len(),
        1,
        "the long prompt was sent before the chat ended"
    );
    Ok(())
}
