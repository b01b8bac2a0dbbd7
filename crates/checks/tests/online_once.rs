//! Calls that may run only once, under faults, checked against the request log of the service.

use clem_checks::{Fleet, Options, Reply, Result, TargetOptions, eventually};
use eyre::ensure;

/// The only route of a fleet without an engine.
const ROUTE: &str = "route.waitlist = { service = \"desk\", idempotent = false }  # asked by Ana";

fn with_service(args: &[&str]) -> Options {
    Options {
        targets: vec![TargetOptions::service("desk", args)],
        rules: vec![ROUTE.to_owned()],
        ..Options::default()
    }
}

async fn confirm(fleet: &Fleet, entry: usize, key: &str, body: &str) -> Result<Reply> {
    let bearer = fleet.bearer("totara")?;
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    let url = fleet.entry_url(entry, "/svc/waitlist/confirm");
    fleet.client.post(&url, &headers, body.to_owned()).await
}

fn effects(fleet: &Fleet, body: &str) -> Result<usize> {
    Ok(fleet
        .requests()?
        .iter()
        .filter(|line| line.body == body)
        .count())
}

#[tokio::test]
async fn a_service_crash_after_the_effect_is_unknown_and_not_retried() -> Result<()> {
    let mut fleet = Fleet::start(with_service(&["--die-after-effect", "family 9"])).await?;
    let first = confirm(&fleet, 0, "confirm-9", "family 9").await?;
    ensure!(first.header("x-clem-ran") == "maybe", "{}", first.text());
    fleet.targets[0].process.restart()?;
    for entry in [0, 1] {
        let again = confirm(&fleet, entry, "confirm-9", "family 9").await?;
        ensure!(again.status.as_u16() == 409, "{}", again.text());
        ensure!(again.header("x-clem-ran") == "maybe", "{}", again.text());
    }
    ensure!(effects(&fleet, "family 9")? == 1, "didn't run exactly once");
    Ok(())
}

#[tokio::test]
async fn a_resend_during_the_first_run_or_after_a_leader_change_runs_nothing() -> Result<()> {
    let mut fleet = Fleet::start(with_service(&["--delay-ms", "1500"])).await?;
    let (first, during) = tokio::join!(confirm(&fleet, 0, "confirm-5", "family 5"), async {
        eventually("the service to receive the first request", async || {
            effects(&fleet, "family 5").is_ok_and(|n| n == 1)
        })
        .await?;
        confirm(&fleet, 1, "confirm-5", "family 5").await
    });
    let (first, during) = (first?.success()?, during?);
    ensure!(
        during.status.as_u16() == 409,
        "resend during the first run: {}",
        during.text()
    );
    // The record survives the loss of any control process, and another entry than the first can
    // read it.
    for index in 0..fleet.control.len() {
        fleet.control[index].kill()?;
        let last = std::cell::RefCell::new(None);
        eventually(
            "the recorded result after a control process was killed",
            async || {
                let Ok(reply) = confirm(&fleet, 1, "confirm-5", "family 5").await else {
                    return false;
                };
                let found = reply.status.is_success();
                *last.borrow_mut() = Some(reply);
                found
            },
        )
        .await?;
        let reply = last.into_inner();
        ensure!(
            reply.is_some_and(|reply| reply.body == first.body),
            "not the first result"
        );
        fleet.control[index].restart()?;
    }
    ensure!(effects(&fleet, "family 5")? == 1, "didn't run exactly once");
    Ok(())
}

#[tokio::test]
async fn an_entry_killed_during_the_run_leaves_the_outcome_unknown() -> Result<()> {
    let mut fleet = Fleet::start(with_service(&["--delay-ms", "1500"])).await?;
    let first = confirm(&fleet, 0, "confirm-3", "family 3");
    let kill = async {
        eventually("the service to receive the request", async || {
            effects(&fleet, "family 3").is_ok_and(|n| n == 1)
        })
        .await
    };
    tokio::select! {
        _ = first => eyre::bail!("the call ended before the entry was killed"),
        done = kill => done?,
    }
    fleet.entries[0].kill()?;
    let again = confirm(&fleet, 1, "confirm-3", "family 3").await?;
    ensure!(again.status.as_u16() == 409, "{}", again.text());
    ensure!(effects(&fleet, "family 3")? == 1, "didn't run exactly once");
    Ok(())
}
