//! Batch cancellation, in one command of bounded size however large the batch is.

use clem_store::Store;
use clem_types::{BatchId, HolderId, UnixMillis};
use clem_wire::{
    batch::{BatchCancel, BatchState, BatchView},
    sync::ItemRef,
};

use crate::{
    Result,
    table::{self, KeyReader},
};

use super::{
    header::Header,
    item::{self, Progress, item_ref},
    queue,
};

/// Maximum number of running items in the outcome; agents stop the rest when their leases aren't
/// renewed.
const MAX_RUNNING: usize = 10_000;

/// The result of a cancellation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CancelOutcome {
    /// The batch's progress; `None` if the customer has no such batch.
    pub view: Option<BatchView>,
    /// Running items that must be stopped.
    pub running: Vec<RunningItem>,
}

/// A running item of a cancelled batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningItem {
    /// The agent that runs it.
    pub holder: HolderId,
    /// The item to stop.
    pub item: ItemRef,
}

/// Cancels a batch. Waiting items are cancelled at once, since they have no result record; running
/// items end when their agents report it or their leases expire.
pub(crate) fn cancel(
    store: &mut dyn Store,
    call: &BatchCancel,
    now: UnixMillis,
) -> Result<CancelOutcome> {
    let Some(mut header) = Header::load(store, call.batch)? else {
        return Ok(CancelOutcome::default());
    };
    if header.customer != call.customer {
        return Ok(CancelOutcome::default());
    }
    if header.is_running() {
        header.counts.cancelled += header.waiting;
        header.waiting = 0;
        header.state = BatchState::Cancelling;
        for route in header.routes.clone() {
            queue::dequeue(store, &header, &route, call.batch)?;
        }
        item::close(store, &mut header, call.batch, now)?;
        header.save(store, call.batch)?;
    }
    let running = match header.state {
        BatchState::Cancelling => running(store, call.batch)?,
        BatchState::Uploading | BatchState::Running | BatchState::Cancelled | BatchState::Done => {
            Vec::new()
        }
    };
    Ok(CancelOutcome {
        view: Some(header.view(call.batch, now)),
        running,
    })
}

fn running(store: &dyn Store, batch: BatchId) -> Result<Vec<RunningItem>> {
    let prefix = item::progress_prefix(batch);
    let mut running = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), MAX_RUNNING)? {
        let progress: Progress = table::decode(&pair.key, &pair.value)?;
        let Some(held) = progress.lease else {
            continue;
        };
        let item = KeyReader::after(&pair.key, &prefix).u32()?;
        running.push(RunningItem {
            holder: held.holder,
            item: item_ref(batch, item),
        });
    }
    Ok(running)
}
