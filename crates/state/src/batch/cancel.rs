//! Cancelling a batch, in one step whatever its size.

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

/// The most running items that one cancel names; leases that aren't renewed end the rest.
const MAX_RUNNING: usize = 10_000;

/// What a cancel brought about.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CancelOutcome {
    /// How far the batch is; none when the customer has no such batch.
    pub view: Option<BatchView>,
    /// Items that run and must stop.
    pub running: Vec<RunningItem>,
}

/// An item that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningItem {
    /// The agent that runs it.
    pub holder: HolderId,
    /// The item.
    pub item: ItemRef,
}

/// Cancels a batch: items that wait are cancelled by that alone, as they have no result record;
/// items that run end when their agents say so or their leases run out.
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
            queue::delist(store, &header, &route, call.batch)?;
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
    let prefix = item::all_progress_key(batch);
    let mut running = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), MAX_RUNNING)? {
        let progress: Progress = table::decode(&pair.key, &pair.value)?;
        let Some(held) = progress.lease else {
            continue;
        };
        let item = KeyReader::after(&pair.key, &prefix).small()?;
        running.push(RunningItem {
            holder: held.holder,
            item: item_ref(batch, item),
        });
    }
    Ok(running)
}
