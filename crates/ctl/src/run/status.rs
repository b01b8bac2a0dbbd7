//! `clemctl status`: prints the state of the control group and the fleet.

use clem_wire::{
    LeaderClient,
    admin::{HolderView, OrderView, ReadStatus, StatusView, TargetStatus},
    sync::{Role, Serves},
};

use crate::Exit;

use super::{Error, Result, TIMEOUT, members};

/// Prints the status as text or JSON.
pub(super) async fn print(client: LeaderClient, json: bool) -> Result {
    let status = client.call(&ReadStatus {}, TIMEOUT).await?;
    if json {
        let text = serde_json::to_string_pretty(&status)
            .map_err(|error| Error::Local(format!("failed to encode the status: {error}")))?;
        println!("{text}");
        return Ok(Exit::Done);
    }
    print!("{}", text(&status));
    Ok(Exit::Done)
}

/// Formats the status as text.
fn text(status: &StatusView) -> String {
    let mut lines = vec![format!("rules: version {}", status.rules)];
    lines.push("members:".to_owned());
    lines.extend(
        status
            .members
            .iter()
            .map(|m| format!("  {}", members::line(m))),
    );
    lines.push("holders:".to_owned());
    lines.extend(status.holders.iter().map(|h| format!("  {}", holder(h))));
    lines.push("targets:".to_owned());
    lines.extend(status.targets.iter().map(|t| format!("  {}", target(t))));
    lines.push("batches in danger of their due times:".to_owned());
    for batch in &status.endangered {
        lines.push(format!("  {} with {} items", batch.batch, batch.items));
    }
    lines.push("orders:".to_owned());
    lines.extend(status.orders.iter().map(|o| format!("  {}", order(o))));
    lines.push(String::new());
    lines.join("\n")
}

fn holder(holder: &HolderView) -> String {
    let role = match holder.role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    };
    let stopping = if holder.stopping { ", stopping" } else { "" };
    format!(
        "{} {role} in {}, rules {}, lease {} ms{stopping}",
        holder.id, holder.data_centre, holder.rules, holder.lease_ms
    )
}

fn target(target: &TargetStatus) -> String {
    let state = match (target.live, target.draining) {
        (false, _) => "not live",
        (true, true) => "draining",
        (true, false) => "live",
    };
    let serves = match &target.serves {
        None => "unknown".to_owned(),
        Some(Serves::Service(service)) => service.to_string(),
        Some(Serves::Models(models)) => {
            let names: Vec<String> = models
                .iter()
                .map(|m| format!("{}@{} {:?}", m.model, m.version, m.state))
                .collect();
            names.join(" ")
        }
    };
    format!(
        "{} {state}, serves {serves}, {} running, {} waiting, {} batch",
        target.target, target.load.running, target.load.waiting, target.load.batch
    )
}

fn order(order: &OrderView) -> String {
    let outcome = match &order.outcome {
        None => "open".to_owned(),
        Some(outcome) => format!("{outcome:?}"),
    };
    format!(
        "{} to {}: {:?}, {outcome}",
        order.fence, order.target, order.action
    )
}
