//! The loop that lets time pass, takes in what the disk says and sends what waits.

use std::{sync::Arc, time::Duration};

use clem_log::{LogIndex, disk::DiskEvent};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{fatal, peers::Peers, shared::Shared, transfer};

/// The longest pause of the loop, for clocks that jump.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// How often the store is synced although the log is short, so that a restart replays little.
const SYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Drives the seat for as long as the process runs.
pub(super) async fn drive(shared: Arc<Shared>, mut disk: UnboundedReceiver<DiskEvent>) {
    let mut peers = Peers::new(Arc::clone(&shared));
    let mut synced = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = shared.work.notified() => {}
            event = disk.recv() => take_event(&shared, event),
            () = tokio::time::sleep(pause(&shared)) => tick(&shared),
        }
        while let Ok(event) = disk.try_recv() {
            take_event(&shared, Some(event));
        }
        shared.round();
        peers.send();
        for member in take_wanting(&shared) {
            tokio::spawn(transfer::send_copy(Arc::clone(&shared), member));
        }
        let due = synced.elapsed() >= SYNC_INTERVAL;
        if begin_sync(&shared, due) {
            synced = tokio::time::Instant::now();
            tokio::spawn(sync_store(Arc::clone(&shared)));
        }
    }
}

fn pause(shared: &Shared) -> Duration {
    let now = shared.clock.now();
    let seat = shared.seat();
    let Some(seat) = seat.as_ref() else {
        return MAX_PAUSE;
    };
    seat.node().wake_at().since(now).min(MAX_PAUSE)
}

fn tick(shared: &Shared) {
    let now = shared.clock.now();
    if let Some(seat) = shared.seat().as_mut() {
        seat.tick(now);
    }
}

fn take_event(shared: &Shared, event: Option<DiskEvent>) {
    match event {
        Some(DiskEvent::Synced { number, free_bytes }) => {
            let now = shared.clock.now();
            if let Some(seat) = shared.seat().as_mut() {
                seat.written(now, number, free_bytes);
            }
        }
        Some(DiskEvent::Identified(_)) => {}
        Some(DiskEvent::Failed(error)) => fatal::end("the log can't be written", &error),
        None => fatal::end("the log can't be written", &"its thread has ended"),
    }
}

fn take_wanting(shared: &Shared) -> Vec<clem_log::MemberId> {
    shared
        .seat()
        .as_mut()
        .map(super::seat::Seat::take_wanting)
        .unwrap_or_default()
}

fn begin_sync(shared: &Shared, due: bool) -> bool {
    let mut seat = shared.seat();
    let Some(seat) = seat.as_mut() else {
        return false;
    };
    if !seat.wants_sync(due) {
        return false;
    }
    seat.begin_sync();
    true
}

/// Syncs the store off the loop; meanwhile committed entries wait, heartbeats go on.
async fn sync_store(shared: Arc<Shared>) {
    let start = tokio::time::Instant::now();
    let syncer = shared.store().syncer();
    let result = tokio::task::spawn_blocking(move || syncer.sync()).await;
    match result {
        Ok(Ok(index)) => {
            let took = start.elapsed().as_secs_f64();
            metrics::gauge!("clem_control_store_sync_seconds").set(took);
            if let Some(seat) = shared.seat().as_mut() {
                seat.end_sync(LogIndex(index));
            }
            shared.work.notify_one();
        }
        Ok(Err(error)) => fatal::end("the store can't be synced", &error),
        Err(error) => fatal::end("the store can't be synced", &error),
    }
}
