//! Orders to targets: draining, concurrent orders, and placement of model versions.

use clem_checks::{Fleet, Options, Result, chat, eventually};
use serde_json::Value;

async fn status(fleet: &Fleet) -> Result<Value> {
    let output = fleet.ctl(&["status", "--json"]).await?;
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Returns the status entry of a target, or null when it has none.
async fn target(fleet: &Fleet, id: &str) -> Result<Value> {
    let status = status(fleet).await?;
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let found = targets.into_iter().find(|target| target["target"] == id);
    Ok(found.unwrap_or_default())
}

/// Whether a live target reports this version of a model as ready.
async fn has_ready(fleet: &Fleet, id: &str, version: u32) -> bool {
    let Ok(target) = target(fleet, id).await else {
        return false;
    };
    let models = target["serves"]["Models"].as_array().cloned();
    models.unwrap_or_default().iter().any(|model| {
        model["version"] == version && model["state"] == "Ready" && target["live"] == true
    })
}

#[tokio::test]
async fn a_drained_target_gets_no_new_work_until_it_is_resumed() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let output = fleet.ctl(&["drain", "t1"]).await?;
    assert_eq!(output.status.code(), Some(0));
    eventually("the target to be draining", async || {
        target(&fleet, "t1")
            .await
            .is_ok_and(|t| t["draining"] == true)
    })
    .await?;
    let before = fleet.targets[0].requests()?.len();
    // Entries learn of the drain with a delay; after that the target receives no more requests.
    eventually("the target to receive no more requests", async || {
        let seen = fleet.targets[0].requests().map_or(0, |list| list.len());
        for number in 0..10 {
            let text = format!("while drained {number}");
            let reply = chat(&fleet, number % 2, "botez", &text, 2).await;
            assert!(reply.is_ok_and(|reply| reply.status.is_success()));
        }
        fleet.targets[0]
            .requests()
            .is_ok_and(|list| list.len() == seen)
    })
    .await?;
    println!(
        "requests after the drain: {}",
        fleet.targets[0].requests()?.len() - before
    );
    // The other engine is now the last one that isn't draining.
    let output = fleet.ctl(&["drain", "t2"]).await?;
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(4), "{text}");
    assert!(text.contains("last replica"), "{text}");
    fleet.ctl(&["resume", "t1"]).await?;
    eventually("the target not to be draining", async || {
        target(&fleet, "t1")
            .await
            .is_ok_and(|t| t["draining"] == false)
    })
    .await
}

#[tokio::test]
async fn invalid_orders_are_refused() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let refused = [
        (vec!["drain", "t9"], "no target t9"),
        (vec!["drain", "t3"], "last replica"),
        (
            vec!["order", "load", "t1", "assistant-7b", "99"],
            "version 99",
        ),
        (
            vec!["order", "load", "t3", "assistant-7b", "3"],
            "not a model engine",
        ),
    ];
    for (words, reason) in refused {
        let output = fleet.ctl(&words).await?;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(4), "{words:?}: {text}");
        assert!(text.contains(reason), "{words:?}: {text}");
    }
    assert_eq!(
        status(&fleet).await?["orders"].as_array().map(Vec::len),
        Some(0)
    );
    Ok(())
}

#[tokio::test]
async fn one_of_two_racing_orders_wins() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let drain = ["drain", "t1", "--expect", "0", "--id", "ana"];
    let load = [
        "order",
        "load",
        "t1",
        "assistant-7b",
        "3",
        "--expect",
        "0",
        "--id",
        "mere",
    ];
    let (drained, loaded) = tokio::try_join!(fleet.ctl(&drain), fleet.ctl(&load))?;
    let mut codes = [drained.status.code(), loaded.status.code()];
    codes.sort();
    assert_eq!(codes, [Some(0), Some(3)]);
    // A retry of the winning order with the same id returns the first answer and adds no order.
    let winner = if drained.status.code() == Some(0) {
        &drain[..]
    } else {
        &load[..]
    };
    let first = if drained.status.code() == Some(0) {
        &drained
    } else {
        &loaded
    };
    let again = fleet.ctl(winner).await?;
    assert_eq!(again.stdout, first.stdout);
    assert_eq!(
        status(&fleet).await?["orders"].as_array().map(Vec::len),
        Some(1)
    );
    Ok(())
}

#[tokio::test]
async fn a_declared_version_is_loaded_and_a_lost_replica_replaced() -> Result<()> {
    let mut fleet = Fleet::start(Options {
        data_centres: vec!["tamaki-a"],
        ..Options::default()
    })
    .await?;
    fleet
        .rules
        .push("model.assistant-7b = { bytes = 1000000 }  # asked by Ana".to_owned());
    let place = |version: u32, replicas: u32| {
        format!(
            "place.v{version} = {{ model = \"assistant-7b\", version = {version}, \
             data_centre = \"tamaki-a\", replicas = {replicas} }}  # asked by Ana"
        )
    };
    fleet.rules.push(place(3, 2));
    fleet.rules.push(place(4, 1));
    fleet.apply().await?;
    eventually("one target to have version 4", async || {
        has_ready(&fleet, "t1", 4).await || has_ready(&fleet, "t2", 4).await
    })
    .await?;
    let (holder, other) = if has_ready(&fleet, "t1", 4).await {
        (0, "t2")
    } else {
        (1, "t1")
    };
    assert!(
        !has_ready(&fleet, other, 4).await,
        "only one replica is declared"
    );
    let logs = fleet.logs()?;
    assert_eq!(logs.matches("placement decided").count(), 1);
    // Both targets still have version 3.
    assert!(has_ready(&fleet, "t1", 3).await && has_ready(&fleet, "t2", 3).await);
    fleet.targets[holder].agent.kill()?;
    fleet.targets[holder].process.kill()?;
    eventually("the other target to have version 4", async || {
        has_ready(&fleet, other, 4).await
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn a_route_change_to_a_version_without_ready_replicas_is_refused() -> Result<()> {
    let mut fleet = Fleet::start(Options::default()).await?;
    let before = fleet.rules.clone();
    for rule in &mut fleet.rules {
        if rule.starts_with("route.assistant") {
            *rule = rule.replace("version = 3", "version = 4");
        }
    }
    let line = fleet
        .rules
        .iter()
        .position(|rule| rule.starts_with("route.assistant"));
    let file = fleet.write_rules()?;
    let expect = fleet.version.to_string();
    let output = fleet.ctl(&["apply", &file, "--expect", &expect]).await?;
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(4), "{text}");
    let finding = format!(
        ":{}:1: assistant-7b is ready nowhere",
        line.map_or(0, |line| line + 1)
    );
    assert!(text.contains(&finding), "{text}");
    fleet.rules = before;
    assert!(
        chat(&fleet, 0, "totara", "still on the old one", 2)
            .await?
            .status
            .is_success()
    );
    Ok(())
}

#[tokio::test]
async fn a_rollout_in_two_edits_refuses_no_request() -> Result<()> {
    let mut fleet = Fleet::start(Options {
        data_centres: vec!["tamaki-a"],
        ..Options::default()
    })
    .await?;
    fleet
        .rules
        .push("model.assistant-7b = { bytes = 1000000 }  # asked by Ana".to_owned());
    for version in [3, 4] {
        fleet.rules.push(format!(
            "place.v{version} = {{ model = \"assistant-7b\", version = {version}, \
             data_centre = \"tamaki-a\", replicas = 2 }}  # asked by Ana"
        ));
    }
    fleet.apply().await?;
    eventually("both targets to have version 4", async || {
        has_ready(&fleet, "t1", 4).await && has_ready(&fleet, "t2", 4).await
    })
    .await?;
    for rule in &mut fleet.rules {
        if rule.starts_with("route.assistant") {
            *rule = rule.replace("version = 3", "version = 4");
        }
    }
    fleet.rules.retain(|rule| !rule.starts_with("place.v3"));
    fleet.apply().await?;
    eventually("version 3 to be unloaded", async || {
        let reply = chat(&fleet, 0, "botez", "during the rollout", 2).await;
        assert!(reply.is_ok_and(|reply| reply.status.is_success()));
        !has_ready(&fleet, "t1", 3).await && !has_ready(&fleet, "t2", 3).await
    })
    .await?;
    assert!(has_ready(&fleet, "t1", 4).await && has_ready(&fleet, "t2", 4).await);
    Ok(())
}
