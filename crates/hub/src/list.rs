//! What the leader does from time to time: reading the platform's list, letting time pass.

use std::{sync::Arc, time::Duration};

use clem_control::endpoint::{Replicated, Result};
use clem_direct::read_targets;
use clem_state::{Command, batch_group::BatchGroupChange};

use crate::Hub;

/// How often the list is read; a target that leaves is listed seconds before it stops.
const LIST_INTERVAL: Duration = Duration::from_millis(900);
/// How often requests are looked through for ones that are out of time.
const TICK: Duration = Duration::from_millis(20);

/// Reads the list for as long as the process runs, while it leads.
pub(crate) async fn poll(hub: Arc<Hub>) {
    let mut failing = false;
    let mut leadership = hub.replica.watch();
    loop {
        if hub.lead(|_, _| ()).is_err() {
            // Read at once when this process begins to lead.
            tokio::select! {
                _ = leadership.changed() => {}
                () = tokio::time::sleep(TICK * 5) => {}
            }
            continue;
        }
        match read_targets(&*hub.dialect, hub.list).await {
            Ok(targets) => {
                if std::mem::take(&mut failing) {
                    log::info!("list regained");
                }
                let count = targets.len();
                // A leader that lost its place meanwhile has no use for the list.
                if let Ok(true) = hub.lead(|lead, now| lead.set_targets(now, targets)) {
                    log::info!(targets = count; "targets changed");
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(error; "list lost");
                }
            }
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// How often the use of slots is logged.
const SLOTS_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the use of slots for as long as the process runs, while it leads.
pub(crate) async fn log_slots(hub: Arc<Hub>) {
    loop {
        tokio::time::sleep(SLOTS_INTERVAL).await;
        let views = hub.lead(|lead, now| {
            let services = lead.dispatcher.services().cloned().collect::<Vec<_>>();
            let dispatcher = &lead.dispatcher;
            let view = |service: String| Some((dispatcher.view(now, &service)?, service));
            services.into_iter().filter_map(view).collect::<Vec<_>>()
        });
        // A process that does not lead has no slots to show.
        for (view, service) in views.unwrap_or_default() {
            if view.online + view.batch == 0 && view.waiting == 0 {
                continue;
            }
            log::info!(
                service = service.as_str(), targets = view.targets, slots = view.slots,
                free = view.free, online = view.online, batch = view.batch,
                waiting = view.waiting;
                "slots"
            );
        }
    }
}

/// Lets time pass for as long as the process runs.
pub(crate) async fn tick(hub: Arc<Hub>) {
    loop {
        tokio::time::sleep(TICK).await;
        hub.peers.set_addresses(&hub.members());
        if !hub.has_disk {
            hub.peers.add_addresses(&hub.replica.peers());
        }
        // What a process that does not lead leaves undone, the leader does.
        let _ = step(&hub).await;
    }
}

async fn step(hub: &Hub) -> Result<()> {
    let founders = hub.lead(|lead, now| {
        lead.tick(now);
        lead.founders(now, hub.tolerance)
    })?;
    let Some(founders) = founders else {
        return Ok(());
    };
    log::info!(founders:? = founders; "founds the group that keeps batches");
    change_batch_group(hub, BatchGroupChange::Found(founders)).await
}

/// Changes the group that keeps batches.
pub(crate) async fn change_batch_group(hub: &Hub, change: BatchGroupChange) -> Result<()> {
    hub.propose(Command::BatchGroup(change)).await?;
    let batch_group = hub.replica.read(clem_state::batch_group::read);
    hub.lead(|lead, _| lead.set_batch_group(batch_group))
}
