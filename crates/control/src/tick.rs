//! What the leader does from time to time.

use std::{sync::Arc, time::Duration};

use clem_state::{Command, batch};
use clem_types::CustomerId;

use crate::control::{Control, Replicated, Result};

/// How often leases are looked through for ones that have run out.
const REFRESH: Duration = Duration::from_millis(200);
/// How many batches without a customer are cancelled at a time.
const ORPHAN_STEP: usize = 100;
/// Up to how many batches in danger are counted.
const MAX_GAUGED: usize = 500;
/// How often expired records are dropped.
const EXPIRE: Duration = Duration::from_millis(500);

/// Keeps the fleet view up to date, for as long as the process runs.
pub async fn refresh(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(REFRESH);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Ok(changed) = control.lead(|lead, now| lead.refresh(now)) else {
            continue;
        };
        if changed {
            control.wake();
        }
    }
}

/// Drops expired records in bounded steps, for as long as the process runs.
pub async fn expire(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(EXPIRE);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // A step that is refused is tried again at the next tick.
        let _ = expire_step(&control).await;
        let _ = cancel_orphaned(&control).await;
        let _ = gauge(&control);
    }
}

/// Cancels open batches of customers that the rules don't know any more, a few at a time.
async fn cancel_orphaned(control: &Control) -> Result<()> {
    let (rules, swept) = control.lead(|lead, _| (lead.history.rules().clone(), lead.swept))?;
    if swept == rules.version() {
        return Ok(());
    }
    control.barrier().await?;
    let is_known = |id: &CustomerId| rules.customers().contains_key(id);
    let calls = control
        .replica
        .read(|store| batch::orphaned(store, is_known, ORPHAN_STEP));
    if calls.is_empty() {
        return control.lead(|lead, _| lead.swept = rules.version());
    }
    for call in calls {
        log::warn!(batch:% = call.batch, customer:% = call.customer; "batch without a customer");
        let now = control.wall();
        control.propose(Command::BatchCancel { call, now }).await?;
    }
    control.wake();
    Ok(())
}

/// Shows what the leader knows as metrics.
fn gauge(control: &Control) -> Result<()> {
    let now = control.wall();
    let endangered = control
        .replica
        .read(|store| batch::endangered(store, now, MAX_GAUGED));
    metrics::gauge!("clem_batches_endangered").set(endangered.len() as f64);
    control.lead(|lead, now| {
        metrics::gauge!("clem_rules_version").set(lead.history.rules().version().0 as f64);
        metrics::gauge!("clem_targets").set(lead.fleet.shown().len() as f64);
        metrics::gauge!("clem_holders").set(lead.leases.live(now) as f64);
    })
}

async fn expire_step(control: &Control) -> Result<()> {
    let now = control.wall();
    if !control
        .replica
        .read(|store| clem_state::has_expired(store, now))
    {
        return Ok(());
    }
    control.barrier().await?;
    control.propose(Command::Expire { now }).await?;
    let version = control.replica.read(clem_state::poison::version);
    let changed = control.lead(|lead, _| {
        let changed = lead.poison < version;
        lead.poison = lead.poison.max(version);
        changed
    })?;
    if changed {
        control.wake();
    }
    Ok(())
}
