//! Rule changes with concurrent operators, lost answers and frozen processes.

use std::time::{Duration, Instant};

use clem_checks::{Fleet, Options, Result, chat, eventually};

/// The longest time until a change is in force under any fault, with a margin for a busy machine.
const IN_FORCE_BOUND: Duration = Duration::from_secs(10);

/// Writes a rules file with one additional line and returns its path.
fn variant(fleet: &Fleet, name: &str, line: &str) -> Result<String> {
    let mut rules = fleet.rules.clone();
    rules.push(line.to_owned());
    let path = fleet.folder().join(name);
    std::fs::write(&path, rules.join("\n"))?;
    Ok(path.display().to_string())
}

/// Checks that no process holds a lease on rules older than those in force.
async fn assert_no_older_lease(fleet: &Fleet) -> Result<()> {
    let status = fleet.ctl(&["status", "--json"]).await?;
    let status: serde_json::Value = serde_json::from_slice(&status.stdout)?;
    let holders = status["holders"].as_array().cloned().unwrap_or_default();
    assert!(!holders.is_empty());
    for holder in holders {
        let current = holder["rules"].as_u64() >= Some(fleet.version);
        assert!(current || holder["lease_ms"] == 0, "{holder}");
    }
    Ok(())
}

fn extra(number: u32) -> String {
    format!("customer.extra-{number} = {{ rate = \"1/s\", burst = 1 }}  # asked by Mere")
}

#[tokio::test]
async fn one_of_several_racing_changes_wins() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let expect = fleet.version.to_string();
    let mut calls = Vec::new();
    for number in 0..4 {
        let file = variant(&fleet, &format!("racer-{number}.toml"), &extra(number))?;
        calls.push((number, file));
    }
    let run = |number: u32, file: String| {
        let (fleet, expect) = (&fleet, &expect);
        async move {
            let id = format!("racer-{number}");
            let words = ["apply", &file, "--expect", expect, "--id", &id];
            let output = fleet.ctl(&words).await?;
            Ok::<_, eyre::Report>((number, output))
        }
    };
    let [a, b, c, d] = [&calls[0], &calls[1], &calls[2], &calls[3]].map(|call| call.clone());
    let outputs = tokio::try_join!(run(a.0, a.1), run(b.0, b.1), run(c.0, c.1), run(d.0, d.1))?;
    let mut winners = Vec::new();
    for (number, output) in [outputs.0, outputs.1, outputs.2, outputs.3] {
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        match output.status.code() {
            Some(0) => winners.push(number),
            Some(3) => assert!(
                text.contains(&format!("version {}", fleet.version + 1)),
                "{text}"
            ),
            other => panic!("{other:?}: {text}"),
        }
    }
    assert_eq!(winners.len(), 1, "winners: {winners:?}");
    let rules = fleet.ctl(&["rules"]).await?;
    let text = String::from_utf8_lossy(&rules.stdout).into_owned();
    for number in 0..4 {
        assert_eq!(text.contains(&extra(number)), winners[0] == number);
    }
    Ok(())
}

#[tokio::test]
async fn a_resent_command_changes_nothing() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let (first, second) = (
        variant(&fleet, "first.toml", &extra(1))?,
        variant(&fleet, "second.toml", &extra(2))?,
    );
    let expect = [fleet.version, fleet.version + 1].map(|version| version.to_string());
    let send = async |file: &str, expect: &str, id: &str| {
        fleet
            .ctl(&["apply", file, "--expect", expect, "--id", id])
            .await
    };
    let answer = send(&first, &expect[0], "lost").await?;
    assert_eq!(answer.status.code(), Some(0));
    assert_eq!(
        send(&second, &expect[1], "newer").await?.status.code(),
        Some(0)
    );
    // A resent command, as after a lost answer, gets its first answer and doesn't revert the newer
    // change.
    let again = send(&first, &expect[0], "lost").await?;
    assert_eq!(again.status.code(), Some(0));
    let version = format!("version {} ", fleet.version + 1);
    for output in [&answer, &again] {
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(text.starts_with(&version), "{text}");
    }
    let rules = fleet.ctl(&["rules"]).await?;
    let text = String::from_utf8_lossy(&rules.stdout).into_owned();
    assert!(text.contains(&extra(2)) && !text.contains(&extra(1)));
    Ok(())
}

#[tokio::test]
async fn a_frozen_entry_cannot_run_a_withdrawn_key() -> Result<()> {
    let mut fleet = Fleet::start(Options::default()).await?;
    assert!(
        chat(&fleet, 0, "totara", "before", 2)
            .await?
            .status
            .is_success()
    );
    fleet.entries[0].freeze()?;
    fleet.rules.retain(|rule| !rule.starts_with("key.totara-1"));
    let start = Instant::now();
    // Returns once the lease of the frozen entry has expired.
    fleet.apply().await?;
    let elapsed = start.elapsed();
    assert!(elapsed < IN_FORCE_BOUND, "in force after {elapsed:?}");
    assert_no_older_lease(&fleet).await?;
    let reply = chat(&fleet, 1, "totara", "after at the other", 2).await?;
    assert_eq!(reply.status.as_u16(), 401);
    fleet.entries[0].thaw()?;
    let reply = chat(&fleet, 0, "totara", "after at the thawed", 2).await?;
    assert!(
        matches!(reply.status.as_u16(), 401 | 503),
        "{}",
        reply.status
    );
    assert_eq!(reply.header("x-clem-ran"), "no");
    let requests = fleet.requests()?;
    assert!(
        !requests
            .iter()
            .any(|request| request.body.contains("after"))
    );
    // The entry recovers by itself and follows the new rules.
    fleet.wait_for_entry(0).await?;
    assert!(
        chat(&fleet, 0, "botez", "others go on", 2)
            .await?
            .status
            .is_success()
    );
    Ok(())
}

#[tokio::test]
async fn a_change_is_in_force_at_once_without_faults() -> Result<()> {
    let mut fleet = Fleet::start(Options::default()).await?;
    let mut slowest = Duration::ZERO;
    for number in 0..20 {
        fleet.rules.push(extra(number));
        let start = Instant::now();
        fleet.apply().await?;
        slowest = slowest.max(start.elapsed());
    }
    println!("slowest of 20 changes, with the start of clemctl: {slowest:?}");
    let status = fleet.ctl(&["status", "--json"]).await?;
    let status: serde_json::Value = serde_json::from_slice(&status.stdout)?;
    assert_eq!(status["rules"], fleet.version);
    for holder in status["holders"].as_array().into_iter().flatten() {
        assert_eq!(holder["rules"], fleet.version, "{holder}");
    }
    Ok(())
}

#[tokio::test]
async fn a_killed_entry_does_not_block_a_change() -> Result<()> {
    let mut fleet = Fleet::start(Options::default()).await?;
    fleet.entries[0].kill()?;
    fleet.rules.push(extra(1));
    let start = Instant::now();
    fleet.apply().await?;
    assert!(start.elapsed() < IN_FORCE_BOUND);
    eventually("the other entry to serve requests", async || {
        let reply = chat(&fleet, 1, "totara", "hello", 2).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    })
    .await
}
