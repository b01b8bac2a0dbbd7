//! Batch items through a real agent to a fake engine, which is the judge.

mod support;

use std::collections::BTreeMap;

use clem_checks::{RequestLine, Result, eventually, expected};
use clem_types::Attempt;
use clem_wire::{
    batch::{AttemptEnd, Taken},
    dispatch::Event,
};
use support::{Bench, item, text};

const SLOW: [&str; 2] = ["--step-us", "20000"];

/// The content of a finished item.
fn content(end: &AttemptEnd) -> String {
    let AttemptEnd::Done { status: 200, body } = end else {
        return format!("{end:?}");
    };
    let json: serde_json::Value = serde_json::from_str(body).expect("the result is JSON");
    let content = json["choices"][0]["message"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}

async fn ends(bench: &Bench, count: usize) -> Result<Vec<AttemptEnd>> {
    eventually(&format!("{count} ends"), async || {
        bench.control.read(|desk| desk.ends.len() >= count)
    })
    .await?;
    let ends = bench.control.read(|desk| desk.ends.clone());
    Ok(ends.into_iter().map(|end| end.end).collect())
}

async fn running(bench: &Bench, count: usize) -> Result<()> {
    eventually(&format!("{count} items at the engine"), async || {
        let open = |line: &&RequestLine| line.outcome == "open";
        let lines = bench.requests().unwrap_or_default();
        lines.iter().filter(open).count() >= count
    })
    .await
}

/// How often each item was sent to the engine from its start.
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
async fn leased_items_run_once_and_are_reported_whole() -> Result<()> {
    let bench = Bench::start("engine", &[], &[]).await?;
    bench.control.change(|desk| {
        desk.items
            .extend((0..40).map(|n| item(n, &format!("letter {n}"), 10)));
    });
    let ends = ends(&bench, 40).await?;
    let mut contents: Vec<_> = ends.iter().map(content).collect();
    let mut wanted: Vec<_> = (0..40)
        .map(|n| expected(&format!("letter {n}"), 10))
        .collect();
    contents.sort();
    wanted.sort();
    assert_eq!(contents, wanted);
    let starts = starts(&bench.requests()?);
    assert_eq!(starts.len(), 40);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
    Ok(())
}

#[tokio::test]
async fn a_burst_of_chat_parks_batch_which_ends_whole_later() -> Result<()> {
    let bench = Bench::start("engine", &SLOW, &["--streams", "4"]).await?;
    bench.control.change(|desk| {
        desk.items
            .extend((0..4).map(|n| item(n, &format!("letter {n}"), 60)));
    });
    running(&bench, 4).await?;
    let chats = (0..4).map(|n| bench.chat(100 + n, &format!("chat {n}"), 10));
    let chats: Vec<_> = chats.collect();
    let answers = futures_util::future::join_all(chats.iter().map(|c| bench.run(c))).await;
    for (n, answer) in answers.into_iter().enumerate() {
        assert_eq!(text(&answer?), expected(&format!("chat {n}"), 10));
    }
    let ends = ends(&bench, 4).await?;
    let mut contents: Vec<_> = ends.iter().map(content).collect();
    let mut wanted: Vec<_> = (0..4)
        .map(|n| expected(&format!("letter {n}"), 60))
        .collect();
    contents.sort();
    wanted.sort();
    assert_eq!(contents, wanted, "a token was lost or repeated by parking");
    let lines = bench.requests()?;
    let left = lines.iter().filter(|line| {
        line.outcome == "parked" || line.outcome == "cancelled" || line.outcome == "dropped"
    });
    assert!(left.count() >= 3, "batch made way for chat");
    Ok(())
}

#[tokio::test]
async fn cancelled_items_stop_at_the_engine() -> Result<()> {
    let bench = Bench::start("engine", &SLOW, &[]).await?;
    let items: Vec<_> = (0..3)
        .map(|n| item(n, &format!("letter {n}"), 5000))
        .collect();
    let leases: Vec<_> = items.iter().map(|item| item.lease).collect();
    bench.control.change(|desk| desk.items.extend(items));
    running(&bench, 3).await?;
    // One by the lease call, the others by the sync call.
    bench.control.change(|desk| {
        desk.stop = vec![leases[0]];
        desk.cancelled = vec![leases[1].item, leases[2].item];
    });
    eventually("the streams to end at the engine", async || {
        let lines = bench.requests().unwrap_or_default();
        lines
            .iter()
            .all(|line| line.outcome == "cancelled" || line.outcome == "dropped")
    })
    .await?;
    assert!(bench.control.read(|desk| desk.ends.is_empty()));
    Ok(())
}

#[tokio::test]
async fn an_item_whose_lease_runs_out_stops() -> Result<()> {
    let bench = Bench::start("engine", &SLOW, &[]).await?;
    bench.control.change(|desk| {
        desk.item_lease_ms = 1500;
        desk.items.push_back(item(0, "letter", 5000));
    });
    running(&bench, 1).await?;
    bench.control.change(|desk| desk.answers = false);
    eventually("the stream to end at the engine", async || {
        let lines = bench.requests().unwrap_or_default();
        lines.iter().all(|line| line.outcome != "open")
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn results_are_kept_until_they_are_taken() -> Result<()> {
    let bench = Bench::start("engine", &SLOW, &[]).await?;
    bench.control.change(|desk| {
        desk.item_lease_ms = 20_000;
        desk.items.push_back(item(0, "letter", 20));
    });
    running(&bench, 1).await?;
    bench.control.change(|desk| desk.answers = false);
    bench.outcome(0, "done").await?;
    assert!(bench.control.read(|desk| desk.ends.is_empty()));
    bench.control.change(|desk| desk.answers = true);
    let ends = ends(&bench, 1).await?;
    assert_eq!(content(&ends[0]), expected("letter", 20));
    Ok(())
}

#[tokio::test]
async fn a_stale_result_is_dropped_and_the_agent_goes_on() -> Result<()> {
    let bench = Bench::start("engine", &[], &[]).await?;
    bench.control.change(|desk| {
        desk.taken = Taken::Stale;
        desk.items.push_back(item(0, "letter", 5));
    });
    ends(&bench, 1).await?;
    bench.control.change(|desk| {
        desk.taken = Taken::Yes;
        let mut again = item(0, "letter", 5);
        again.lease.attempt = Attempt(2);
        desk.items.push_back(again);
    });
    let ends = ends(&bench, 2).await?;
    assert_eq!(content(&ends[1]), expected("letter", 5));
    Ok(())
}

#[tokio::test]
async fn items_in_flight_at_a_crash_are_lost_and_others_given_back() -> Result<()> {
    let mut bench = Bench::start("engine", &SLOW, &["--streams", "2"]).await?;
    bench.control.change(|desk| {
        desk.items
            .extend((0..3).map(|n| item(n, &format!("letter {n}"), 5000)));
    });
    running(&bench, 2).await?;
    bench.target.kill()?;
    let ends = ends(&bench, 3).await?;
    let lost = |end: &&AttemptEnd| **end == AttemptEnd::Lost { crashed: true };
    assert_eq!(ends.iter().filter(lost).count(), 2, "{ends:?}");
    assert!(ends.contains(&AttemptEnd::Returned));
    assert_eq!(bench.control.read(|desk| desk.crashes[0].requests.len()), 2);
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_gives_back_what_has_not_started() -> Result<()> {
    let mut bench = Bench::start("engine", &SLOW, &["--streams", "2"]).await?;
    bench.control.change(|desk| {
        desk.items
            .extend((0..3).map(|n| item(n, &format!("letter {n}"), 40)));
    });
    running(&bench, 2).await?;
    bench.agent.terminate()?;
    let ends = ends(&bench, 3).await?;
    let done = ends
        .iter()
        .filter(|end| matches!(end, AttemptEnd::Done { .. }));
    assert_eq!(done.count(), 2, "{ends:?}");
    assert!(ends.contains(&AttemptEnd::Returned));
    assert_eq!(bench.agent.wait().await?.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn an_item_that_may_not_run_again_is_never_given_back_after_its_start() -> Result<()> {
    let mut bench = Bench::start("engine", &SLOW, &["--stop-timeout-ms", "300"]).await?;
    bench.control.change(|desk| {
        let mut once = item(0, "letter", 5000);
        once.content.idempotent = false;
        desk.items.push_back(once);
        desk.items.push_back(item(1, "other", 5000));
    });
    running(&bench, 2).await?;
    bench.agent.terminate()?;
    ends(&bench, 2).await?;
    let ends = bench.control.read(|desk| desk.ends.clone());
    for end in ends {
        let wanted = if end.lease.item.item.0 == 0 {
            AttemptEnd::Lost { crashed: false }
        } else {
            AttemptEnd::Returned
        };
        assert_eq!(end.end, wanted);
    }
    assert_eq!(bench.agent.wait().await?.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn chat_does_not_wait_behind_a_long_batch_prompt() -> Result<()> {
    // A prompt token takes 1 ms here: the long prompt would hold the engine for seconds.
    let target = ["--prefill-us-per-token", "1000", "--prefill-chunk", "64"];
    let bench = Bench::start("engine", &target, &["--streams", "2"]).await?;
    let mut chat = bench.send(&bench.chat(1, "hello", 500)).await?;
    chat.until(|event| matches!(event, Event::Token { .. }))
        .await?;
    bench
        .control
        .change(|desk| desk.items.push_back(item(0, &"long ".repeat(4000), 5)));
    let rest = chat.rest().await?;
    assert!(matches!(rest.last(), Some(Event::End { .. })));
    let lines = bench.requests()?;
    assert_eq!(lines.len(), 1, "the long prompt waits for the chat to end");
    Ok(())
}
