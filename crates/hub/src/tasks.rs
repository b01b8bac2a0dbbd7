//! Background tasks: reading the platform's target list, logging slot usage, and the leader's tick.

use std::{sync::Arc, time::Duration};

use clem_control::endpoint::{Replicated, Result};
use clem_direct::ListReader;
use clem_state::{Command, batch_group::BatchGroupChange};

use crate::{Hub, SpreadReport, SuspectWatch, lead::join};

/// How often the list is read; a draining target is listed as such for seconds before it stops.
const LIST_INTERVAL: Duration = Duration::from_millis(900);
/// How often waiting requests are checked for timeouts.
const TICK: Duration = Duration::from_millis(20);

/// Reads the target list while this process leads, until it exits.
pub(crate) async fn poll(hub: Arc<Hub>) {
    let mut failing = false;
    let mut leadership = hub.replica.watch_leadership();
    let mut reader = ListReader::new(Arc::clone(&hub.dialect), hub.list);
    loop {
        let Ok(services) = hub.with_leader(|leader, _| leader.rules_services.clone()) else {
            // Read the list as soon as this process becomes leader.
            tokio::select! {
                _ = leadership.changed() => {}
                () = tokio::time::sleep(TICK * 5) => {}
            }
            continue;
        };
        let began = hub.clock.now();
        match reader.read(&services).await {
            Ok(targets) => {
                if std::mem::take(&mut failing) {
                    log::info!("target list readable again");
                }
                let count = targets.len();
                // If this process is no longer the leader, the list is not needed.
                let read = hub.with_leader(|leader, now| {
                    leader.dispatcher.note_listing(now, began, reader.listed());
                    leader.set_targets(now, targets)
                });
                if let Ok(true) = read {
                    log::info!(targets = count; "targets changed");
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(error; "target list unreadable");
                }
            }
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// How often slot usage is logged.
const SLOTS_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a message from a holder after which its slots are logged.
const SILENT_LOGGED: Duration = Duration::from_secs(1);

/// Logs slot usage while this process leads, until it exits.
pub(crate) async fn log_slots(hub: Arc<Hub>) {
    let mut suspects = SuspectWatch::default();
    loop {
        tokio::time::sleep(SLOTS_INTERVAL).await;
        log_silent(&hub);
        log_suspects(&hub, &mut suspects);
        let views = hub.with_leader(|leader, now| {
            let services = leader.dispatcher.services().cloned().collect::<Vec<_>>();
            let dispatcher = &leader.dispatcher;
            let view = |service: String| Some((dispatcher.view(now, &service)?, service));
            services.into_iter().filter_map(view).collect::<Vec<_>>()
        });
        // The result is empty if this process is not the leader.
        for (view, service) in views.unwrap_or_default() {
            if view.online + view.batch == 0 && view.waiting == 0 {
                continue;
            }
            log::info!(
                service = service.as_str(), targets = view.targets, slots = view.slots,
                free = view.free, online = view.online, batch = view.batch,
                waiting = view.waiting, limited = view.limited;
                "slots"
            );
        }
    }
}

/// Logs how many slots belong to holders that are silent.
fn log_silent(hub: &Hub) {
    let silent = hub.with_leader(|leader, now| leader.dispatcher.silent_slots(now, SILENT_LOGGED));
    // A process that does not lead grants no slots.
    let slots = silent.unwrap_or_default();
    metrics::gauge!("clem_hub_slots_silent").set(slots as f64);
    if slots > 0 {
        log::info!(slots; "slots of silent holders");
    }
}

/// Logs the requests with suspected parts that others have waited for for long.
fn log_suspects(hub: &Hub, watch: &mut SuspectWatch) {
    let running = hub.with_leader(|leader, now| (now, leader.dispatcher.running_suspects()));
    let Ok((now, running)) = running else {
        watch.clear();
        return;
    };
    metrics::gauge!("clem_hub_suspects").set(running.len() as f64);
    for old in watch.take_old(now, running) {
        let suspect = old.suspect;
        log::warn!(
            ticket = suspect.ticket.0, holder = suspect.holder.as_deref(),
            target = suspect.target.as_deref(), parts = join(&suspect.parts),
            age_ms = old.age.as_millis() as u64;
            "suspected request still counts as running"
        );
    }
}

/// How often the record of low buckets is compared with the buckets. In one interval a customer spends less
/// than the platform tolerates above its rate.
const LOW_BUCKETS_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the record of low buckets up to date while this process leads, until it exits.
pub(crate) async fn keep_low_buckets(hub: Arc<Hub>) {
    loop {
        tokio::time::sleep(LOW_BUCKETS_INTERVAL).await;
        let changed = hub.with_leader(|leader, now| leader.changed_low_buckets(now));
        let Ok(Some(low)) = changed else {
            continue;
        };
        let command = Command::Document(low.clone().into());
        match hub.propose(command).await {
            // If this process is no longer the leader, the next one reads the record.
            Ok(_) => drop(hub.with_leader(|leader, _| leader.note_low_buckets(low))),
            Err(error) => log::debug!(error:? = error; "low buckets not recorded"),
        }
    }
}

/// A tick that is this late is logged: calls wait for as long, and members may think that the leader is
/// lost.
const STALL_LOGGED: Duration = Duration::from_millis(60);

/// Runs the leader's tick until the process exits.
pub(crate) async fn tick(hub: Arc<Hub>) {
    loop {
        let due = tokio::time::Instant::now() + TICK;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed();
        metrics::histogram!("clem_hub_tick_late_seconds").record(late.as_secs_f64());
        if late >= STALL_LOGGED {
            log::warn!(late_ms = late.as_millis() as u64; "event loop stalled");
        }
        hub.peers.set_addresses(&hub.members());
        hub.peers.note_elected(hub.replica.leader());
        if !hub.has_disk {
            hub.peers.add_addresses(&hub.replica.peers());
        }
        // If this process is not the leader, the leader does the same.
        let _ = leader_tick(&hub).await;
    }
}

async fn leader_tick(hub: &Hub) -> Result<()> {
    let (founders, spread) = hub.with_leader(|leader, now| {
        leader.tick(now);
        let founders = leader.founders(now, hub.tolerance);
        (founders, leader.check_spread(now))
    })?;
    if let Some(report) = spread {
        log_spread(&report);
    }
    let Some(founders) = founders else {
        return Ok(());
    };
    log::info!(founders:? = founders; "founding the batch group");
    change_batch_group(hub, BatchGroupChange::Found(founders)).await
}

fn log_spread(report: &SpreadReport) {
    match report {
        SpreadReport::Complete {
            version,
            took,
            processes,
        } => log::info!(
            version = version.0, took_ms = took.as_millis() as u64, processes;
            "rules in force everywhere"
        ),
        SpreadReport::Lagging {
            version,
            took,
            missing,
            vms,
        } => log::warn!(
            version = version.0, took_ms = took.as_millis() as u64, missing,
            vms = vms.join(" ").as_str();
            "rules not in force everywhere yet"
        ),
    }
}

/// Commits a change of the batch group's state.
pub(crate) async fn change_batch_group(hub: &Hub, change: BatchGroupChange) -> Result<()> {
    hub.propose(Command::BatchGroup(change)).await?;
    let batch_group = hub.replica.read(clem_state::batch_group::read);
    hub.with_leader(|leader, _| leader.set_batch_group(batch_group))
}
