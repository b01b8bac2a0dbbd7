//! The platform's list of VMs: a leaving VM gets no new work, and a list that is empty by mistake
//! changes nothing.

use clem_checks::{Fleet, Options, Process, Result, chat, eventually, eventually_value};
use serde_json::Value;

/// Starts the fake platform and returns it with its address.
async fn platform(folder: &std::path::Path) -> Result<(Process, String)> {
    let args = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned);
    let process = Process::start("platform", "clem-fake", args.to_vec(), folder)?;
    let address = eventually_value("the platform's address", async || {
        let output = process.output().ok()?;
        let line: Value = serde_json::from_str(output.lines().next()?).ok()?;
        Some(line["listening"].as_str()?.to_owned())
    })
    .await?;
    Ok((process, address))
}

/// Returns the list of VMs with all targets, the first one in the given state.
fn list(fleet: &Fleet, first: &str) -> String {
    let mut vms = Vec::new();
    for (place, target) in fleet.targets.iter().enumerate() {
        let state = if place == 0 { first } else { "live" };
        vms.push(serde_json::json!({
            "vm": target.name,
            "address": target.address,
            "data_centre": "tamaki-a",
            "state": state,
        }));
    }
    Value::Array(vms).to_string()
}

async fn is_draining(fleet: &Fleet, id: &str) -> bool {
    let Ok(output) = fleet.ctl(&["status", "--json"]).await else {
        return false;
    };
    let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    targets
        .iter()
        .any(|target| target["target"] == id && target["draining"] == true)
}

#[tokio::test]
async fn a_leaving_target_gets_no_new_work_and_an_empty_list_changes_nothing() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let (_platform, address) = platform(folder.path()).await?;
    let fleet = Fleet::start(Options {
        control_args: vec!["--platform".to_owned(), address.clone()],
        ..Options::default()
    })
    .await?;
    let url = format!("http://{address}/vms");
    let reply = fleet.client.post(&url, &[], list(&fleet, "live")).await?;
    assert!(reply.status.is_success(), "{}", reply.text());
    assert!(!is_draining(&fleet, "t1").await);

    fleet
        .client
        .post(&url, &[], list(&fleet, "leaving"))
        .await?;
    eventually("the leaving target to be draining", async || {
        is_draining(&fleet, "t1").await
    })
    .await?;
    eventually("the target to receive no more requests", async || {
        let seen = fleet.targets[0].requests().map_or(0, |list| list.len());
        for number in 0..10 {
            let text = format!("while leaving {number}");
            let reply = chat(&fleet, number % 2, "botez", &text, 2).await;
            assert!(reply.is_ok_and(|reply| reply.status.is_success()));
        }
        fleet.targets[0]
            .requests()
            .is_ok_and(|list| list.len() == seen)
    })
    .await?;

    // The list is empty first for a while and then for good. No request may be refused.
    let gap = format!("{url}?empty_ms=1500");
    fleet.client.post(&gap, &[], String::new()).await?;
    for number in 0..40 {
        let reply = chat(&fleet, number % 2, "botez", "while the list is empty", 2).await?;
        assert!(reply.status.is_success(), "{}", reply.text());
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(
        is_draining(&fleet, "t1").await,
        "the state from before the empty list is kept"
    );
    fleet.client.post(&url, &[], "[]".to_owned()).await?;
    let reply = chat(&fleet, 0, "botez", "after the list was emptied", 2).await?;
    assert!(reply.status.is_success(), "{}", reply.text());
    Ok(())
}
