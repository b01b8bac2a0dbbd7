//! Orders to the target: by their numbers, also where the target doesn't check them.

mod support;

use clem_checks::{Result, eventually};
use clem_types::{FenceNumber, ModelVersion};
use clem_wire::{
    dispatch::{Event, NotRunReason},
    sync::{Action, ModelState, Order, OrderOutcome, OrderResult},
};
use support::Bench;

fn load(fence: u64, version: u32) -> Order {
    order(
        fence,
        Action::Load {
            model: "assistant-7b".parse().expect("a model id"),
            version: ModelVersion(version),
        },
    )
}

fn order(fence: u64, action: Action) -> Order {
    Order {
        fence: FenceNumber(fence),
        target: "t1".parse().expect("a target id"),
        action,
    }
}

/// Gives an order and waits for its answer.
async fn give(bench: &Bench, order: Order) -> Result<OrderResult> {
    let fence = order.fence;
    bench.control.change(|desk| desk.orders.push(order));
    answer(bench, fence).await
}

async fn answer(bench: &Bench, fence: FenceNumber) -> Result<OrderResult> {
    clem_checks::eventually_value("the answer to an order", async || {
        bench.control.read(|desk| {
            let mut results = desk.results.iter();
            results.find(|result| result.fence == fence).cloned()
        })
    })
    .await
}

#[tokio::test]
async fn a_load_is_answered_when_it_has_ended() -> Result<()> {
    let bench = Bench::start("engine", &["--load-ms", "300"], &[]).await?;
    let result = give(&bench, load(5, 4)).await?;
    assert_eq!(result.outcome, OrderOutcome::Done);
    let ready = bench.control.read(|desk| {
        let report = desk.synced.as_ref().and_then(|s| s.report.as_ref());
        report.is_some_and(|report| {
            let mut models = report.models.iter();
            models.any(|m| m.version == ModelVersion(4) && m.state == ModelState::Ready)
        })
    });
    assert!(ready, "the report names the new version");
    Ok(())
}

#[tokio::test]
async fn an_older_order_is_refused_for_a_target_that_does_not_check() -> Result<()> {
    let bench = Bench::start("engine", &["--checks-fence", "false"], &[]).await?;
    assert_eq!(give(&bench, load(7, 4)).await?.outcome, OrderOutcome::Done);
    let old = give(&bench, load(6, 5)).await?;
    let newest = FenceNumber(7);
    assert_eq!(old.outcome, OrderOutcome::Stale { newest });
    Ok(())
}

#[tokio::test]
async fn a_drain_refuses_new_work_until_it_is_lifted() -> Result<()> {
    let bench = Bench::start("engine", &[], &[]).await?;
    give(&bench, order(3, Action::Drain)).await?;
    let events = bench.run(&bench.chat(1, "hello", 2)).await?;
    let Some(Event::NotRun { reason, .. }) = events.last() else {
        panic!("{events:?}");
    };
    assert_eq!(*reason, NotRunReason::Draining);
    give(&bench, order(4, Action::Resume)).await?;
    let events = bench.run(&bench.chat(2, "hello", 2)).await?;
    assert!(matches!(events.last(), Some(Event::End { .. })));
    Ok(())
}

#[tokio::test]
async fn an_order_that_comes_again_is_carried_out_once() -> Result<()> {
    let bench = Bench::start("engine", &["--checks-fence", "false"], &[]).await?;
    give(&bench, load(5, 4)).await?;
    bench.control.change(|desk| desk.results.clear());
    let again = give(&bench, load(5, 4)).await?;
    assert_eq!(again.outcome, OrderOutcome::Done);
    let mut sent = 0;
    eventually("the log to be read", async || {
        let path = bench.folder.path().join("requests");
        let lines = clem_checks::read_requests(&path).unwrap_or_default();
        sent = lines.iter().filter(|l| l.path == "/engine/orders").count();
        sent > 0
    })
    .await?;
    assert_eq!(sent, 1);
    Ok(())
}

#[tokio::test]
async fn a_restarted_agent_obeys_nothing_older_than_what_has_ended() -> Result<()> {
    let mut bench = Bench::start("engine", &["--checks-fence", "false"], &[]).await?;
    give(&bench, load(7, 4)).await?;
    bench.agent.kill()?;
    let newest = FenceNumber(7);
    bench.control.change(|desk| {
        desk.orders.clear();
        desk.fence = newest;
    });
    bench.agent.restart()?;
    let old = give(&bench, load(6, 5)).await?;
    assert_eq!(old.outcome, OrderOutcome::Stale { newest });
    Ok(())
}

#[tokio::test]
async fn an_order_waits_for_a_target_that_is_not_known_to_be_up_yet() -> Result<()> {
    let mut bench = Bench::start("engine", &[], &[]).await?;
    bench.agent.kill()?;
    bench.control.change(|desk| desk.orders.push(load(3, 4)));
    bench.agent.restart()?;
    let result = answer(&bench, FenceNumber(3)).await?;
    assert_eq!(result.outcome, OrderOutcome::Done);
    Ok(())
}
