//! Orders to the target. Fence numbers are enforced even if the target doesn't check them.

mod support;

use clem_checks::{Result, eventually};
use clem_types::{FenceNumber, ModelVersion};
use clem_wire::{
    dispatch::{Event, NotRunReason},
    sync::{Action, ModelState, Order, OrderOutcome, OrderResult},
};
use support::Harness;

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

/// Issues an order and waits for its result.
async fn issue(harness: &Harness, order: Order) -> Result<OrderResult> {
    let fence = order.fence;
    harness.control.change(|state| state.orders.push(order));
    wait_for_result(harness, fence).await
}

async fn wait_for_result(harness: &Harness, fence: FenceNumber) -> Result<OrderResult> {
    clem_checks::eventually_value("the result of an order", async || {
        harness.control.read(|state| {
            let mut results = state.results.iter();
            results.find(|result| result.fence == fence).cloned()
        })
    })
    .await
}

#[tokio::test]
async fn a_load_order_reports_its_result_when_the_load_ends() -> Result<()> {
    let harness = Harness::start("engine", &["--load-ms", "300"], &[]).await?;
    let result = issue(&harness, load(5, 4)).await?;
    assert_eq!(result.outcome, OrderOutcome::Done);
    let ready = harness.control.read(|state| {
        let report = state.synced.as_ref().and_then(|s| s.report.as_ref());
        report.is_some_and(|report| {
            let mut models = report.models.iter();
            models.any(|m| m.version == ModelVersion(4) && m.state == ModelState::Ready)
        })
    });
    assert!(ready, "the report lacks the new version");
    Ok(())
}

#[tokio::test]
async fn an_older_order_is_refused_for_a_target_that_does_not_check() -> Result<()> {
    let harness = Harness::start("engine", &["--checks-fence", "false"], &[]).await?;
    assert_eq!(
        issue(&harness, load(7, 4)).await?.outcome,
        OrderOutcome::Done
    );
    let old = issue(&harness, load(6, 5)).await?;
    let newest = FenceNumber(7);
    assert_eq!(old.outcome, OrderOutcome::Stale { newest });
    Ok(())
}

#[tokio::test]
async fn a_draining_agent_refuses_new_work_until_it_resumes() -> Result<()> {
    let harness = Harness::start("engine", &[], &[]).await?;
    issue(&harness, order(3, Action::Drain)).await?;
    let events = harness.run(&harness.chat(1, "hello", 2)).await?;
    let Some(Event::NotRun { reason, .. }) = events.last() else {
        panic!("{events:?}");
    };
    assert_eq!(*reason, NotRunReason::Draining);
    issue(&harness, order(4, Action::Resume)).await?;
    let events = harness.run(&harness.chat(2, "hello", 2)).await?;
    assert!(matches!(events.last(), Some(Event::End { .. })));
    Ok(())
}

#[tokio::test]
async fn a_repeated_order_is_executed_once() -> Result<()> {
    let harness = Harness::start("engine", &["--checks-fence", "false"], &[]).await?;
    issue(&harness, load(5, 4)).await?;
    harness.control.change(|state| state.results.clear());
    let again = issue(&harness, load(5, 4)).await?;
    assert_eq!(again.outcome, OrderOutcome::Done);
    let mut sent = 0;
    eventually("the order in the request log", async || {
        let path = harness.folder.path().join("requests");
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
    let mut harness = Harness::start("engine", &["--checks-fence", "false"], &[]).await?;
    issue(&harness, load(7, 4)).await?;
    harness.agent.kill()?;
    let newest = FenceNumber(7);
    harness.control.change(|state| {
        state.orders.clear();
        state.fence = newest;
    });
    harness.agent.restart()?;
    let old = issue(&harness, load(6, 5)).await?;
    assert_eq!(old.outcome, OrderOutcome::Stale { newest });
    Ok(())
}

#[tokio::test]
async fn an_order_waits_until_the_target_is_known_to_be_up() -> Result<()> {
    let mut harness = Harness::start("engine", &[], &[]).await?;
    harness.agent.kill()?;
    harness
        .control
        .change(|state| state.orders.push(load(3, 4)));
    harness.agent.restart()?;
    let result = wait_for_result(&harness, FenceNumber(3)).await?;
    assert_eq!(result.outcome, OrderOutcome::Done);
    Ok(())
}
