//! The replica's event loop: timers, disk events, outgoing messages and store syncs.

use std::{sync::Arc, time::Duration};

use clem_boot::spawn_vital;
use clem_log::{LogIndex, disk::DiskEvent};
use clem_types::Time;
use tokio::sync::mpsc::UnboundedReceiver;

use super::{core::Core, fatal, peers::PeerSender, send_snapshot::SnapshotSender, shared::Shared};

/// Longest time between two ticks, in case the clock jumps.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// How often the store is synced even if the log is short, so that a restart replays few entries.
const SYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Runs the event loop until the process exits.
pub(super) async fn run(shared: Arc<Shared>, mut disk: UnboundedReceiver<DiskEvent>) {
    let mut peers = PeerSender::new(Arc::clone(&shared));
    let mut snapshots = SnapshotSender::new(Arc::clone(&shared));
    let mut synced = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = shared.work.notified() => {}
            event = disk.recv() => handle_event(&shared, event),
            () = tokio::time::sleep(pause(&shared)) => {}
        }
        while let Ok(event) = disk.try_recv() {
            handle_event(&shared, Some(event));
        }
        // Not only when the sleep has ended: under constant work it never does.
        tick_if_due(&shared);
        shared.process();
        peers.send();
        for member in take_snapshot_requests(&shared) {
            snapshots.start(member);
        }
        let due = synced.elapsed() >= SYNC_INTERVAL;
        if begin_sync(&shared, due) {
            synced = tokio::time::Instant::now();
            spawn_vital("sync_store", sync_store(Arc::clone(&shared)));
        }
    }
}

fn pause(shared: &Shared) -> Duration {
    let now = shared.clock.now();
    let core = shared.core();
    let Some(core) = core.as_ref() else {
        return TICK_INTERVAL_MAX;
    };
    next_tick(core).since(now)
}

fn next_tick(core: &Core) -> Time {
    core.node().wake_at().min(core.ticked() + TICK_INTERVAL_MAX)
}

fn tick_if_due(shared: &Shared) {
    let now = shared.clock.now();
    let mut core = shared.core();
    let Some(core) = core.as_mut() else { return };
    if next_tick(core) <= now {
        core.tick(now);
    }
}

fn handle_event(shared: &Shared, event: Option<DiskEvent>) {
    match event {
        Some(DiskEvent::Synced { number, free_bytes }) => {
            let now = shared.clock.now();
            if let Some(core) = shared.core().as_mut() {
                core.log_synced(now, number, free_bytes);
            }
        }
        Some(DiskEvent::Idle { free_bytes }) => {
            let now = shared.clock.now();
            if let Some(core) = shared.core().as_mut() {
                core.note_room(now, free_bytes);
            }
        }
        Some(DiskEvent::Identified(_)) => {}
        Some(DiskEvent::Failed(error)) => fatal::exit("failed to write the log", &error),
        None => fatal::exit("failed to write the log", &"the writer thread has stopped"),
    }
}

fn take_snapshot_requests(shared: &Shared) -> Vec<clem_log::MemberId> {
    shared
        .core()
        .as_mut()
        .map(super::core::Core::take_snapshot_requests)
        .unwrap_or_default()
}

fn begin_sync(shared: &Shared, due: bool) -> bool {
    let now = shared.clock.now();
    let mut core = shared.core();
    let Some(core) = core.as_mut() else {
        return false;
    };
    if !core.needs_sync(due) {
        return false;
    }
    core.begin_sync(now);
    true
}

/// Syncs the store on a blocking thread. Committed entries are not applied meanwhile, but the event
/// loop keeps sending heartbeats.
async fn sync_store(shared: Arc<Shared>) {
    let start = tokio::time::Instant::now();
    let syncer = shared.store().syncer();
    let result = tokio::task::spawn_blocking(move || syncer.sync()).await;
    match result {
        Ok(Ok(index)) => {
            let took = start.elapsed().as_secs_f64();
            metrics::gauge!("clem_control_store_sync_seconds").set(took);
            if let Some(core) = shared.core().as_mut() {
                core.end_sync(LogIndex(index));
            }
            shared.work.notify_one();
        }
        Ok(Err(error)) => fatal::exit("failed to sync the store", &error),
        Err(error) => fatal::exit("failed to sync the store", &error),
    }
}
