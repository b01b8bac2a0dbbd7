//! What the leader does from time to time.

use std::{sync::Arc, time::Duration};

use clem_state::Command;

use crate::control::{Control, Result};

/// How often leases are looked through for ones that have run out.
const REFRESH: Duration = Duration::from_millis(200);
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
    }
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
