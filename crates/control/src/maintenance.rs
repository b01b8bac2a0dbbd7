//! Periodic tasks of the leader.

use std::{sync::Arc, time::Duration};

use clem_state::{Command, batch};
use clem_types::CustomerId;

use crate::control::{Control, Replicated, Result};

/// How often leases are checked for expiry.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// How many batches of removed customers are cancelled in one step.
const MAX_ORPHANS: usize = 100;
/// Upper limit of the gauge of batches that will miss their due time.
const MAX_ENDANGERED: usize = 500;
/// How often expired records are deleted.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Refreshes the fleet view until the process exits.
pub async fn refresh_fleet(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(REFRESH_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Ok(changed) = control.with_leader(|lead, now| lead.refresh(now)) else {
            continue;
        };
        if changed {
            control.notify_update();
        }
    }
}

/// Deletes expired records, cancels orphaned batches and updates gauges until the process exits.
///
/// Each tick does a bounded amount of work.
pub async fn run(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // A step that fails, for example because this process is not the leader, is retried at the
        // next tick.
        let _ = expire_records(&control).await;
        let _ = cancel_orphans(&control).await;
        let _ = update_gauges(&control);
    }
}

/// Cancels open batches whose customer is no longer in the rules, [`MAX_ORPHANS`] at a time.
async fn cancel_orphans(control: &Control) -> Result<()> {
    let (rules, checked) =
        control.with_leader(|lead, _| (lead.history.rules().clone(), lead.orphans_checked))?;
    if checked == rules.version() {
        return Ok(());
    }
    control.barrier().await?;
    let is_known = |id: &CustomerId| rules.customers().contains_key(id);
    let calls = control
        .replica
        .read(|store| batch::orphaned(store, is_known, MAX_ORPHANS));
    if calls.is_empty() {
        return control.with_leader(|lead, _| lead.orphans_checked = rules.version());
    }
    for call in calls {
        log::warn!(batch:% = call.batch, customer:% = call.customer; "cancelling batch of removed customer");
        let now = control.wall_time();
        control.propose(Command::BatchCancel { call, now }).await?;
    }
    control.notify_update();
    Ok(())
}

/// Updates the gauges that only the leader can compute.
fn update_gauges(control: &Control) -> Result<()> {
    let now = control.wall_time();
    let endangered = control
        .replica
        .read(|store| batch::endangered(store, now, MAX_ENDANGERED));
    metrics::gauge!("clem_batches_endangered").set(endangered.len() as f64);
    control.with_leader(|lead, now| {
        metrics::gauge!("clem_rules_version").set(lead.history.rules().version().0 as f64);
        metrics::gauge!("clem_targets").set(lead.fleet.views().len() as f64);
        metrics::gauge!("clem_holders").set(lead.leases.live_count(now) as f64);
    })
}

async fn expire_records(control: &Control) -> Result<()> {
    let now = control.wall_time();
    if !control
        .replica
        .read(|store| clem_state::has_expired(store, now))
    {
        return Ok(());
    }
    control.barrier().await?;
    control.propose(Command::Expire { now }).await?;
    let version = control.replica.read(clem_state::poison::version);
    let changed = control.with_leader(|lead, _| {
        let changed = lead.poison < version;
        lead.poison = lead.poison.max(version);
        changed
    })?;
    if changed {
        control.notify_update();
    }
    Ok(())
}
