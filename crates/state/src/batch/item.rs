//! Batch items: content, attempts and results.

use clem_store::Store;
use clem_types::{Attempt, BatchId, HolderId, Incarnation, ItemIndex, UnixMillis};
use clem_wire::{
    batch::{BatchState, Item, ItemOutcome, ItemResult},
    sync::ItemRef,
};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key},
};

use super::{
    header::{Header, add_bytes, due_key, open_prefix},
    retention,
};

/// An item fails after this many attempts that were lost without a crash of the target.
pub const MAX_LOSSES: u32 = 3;
/// An item that isn't classified as poison fails after this many attempts during which the target
/// crashed; other requests may have caused the crashes.
pub const MAX_CRASHES: u32 = 4;

/// The attempts at an unfinished item; stored from its first lease on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Progress {
    /// Number of the latest attempt.
    pub(super) attempt: Attempt,
    /// Number of attempts that were lost without a crash of the target.
    pub(super) losses: u32,
    /// Number of attempts during which the target crashed.
    pub(super) crashes: u32,
    /// The lease of the latest attempt; `None` while the item waits in the queue.
    pub(super) lease: Option<ItemLease>,
}

/// The lease of an item: which agent process runs it, and until when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ItemLease {
    pub(super) holder: HolderId,
    pub(super) incarnation: Incarnation,
    pub(super) until: UnixMillis,
}

pub(super) fn content(store: &dyn Store, item: ItemRef) -> Result<Option<Item>> {
    table::get(store, &content_key(item))
}

pub(super) fn progress(store: &dyn Store, item: ItemRef) -> Result<Option<Progress>> {
    table::get(store, &progress_key(item))
}

pub(super) fn put_progress(
    store: &mut dyn Store,
    item: ItemRef,
    progress: &Progress,
) -> Result<()> {
    table::put(store, &progress_key(item), progress)
}

/// Records the final outcome of an item, and completes the batch if it was the last one. The caller
/// has already removed the item from the queue and from the header's `waiting` or `running` count.
pub(super) fn settle(
    store: &mut dyn Store,
    header: &mut Header,
    item: ItemRef,
    outcome: ItemOutcome,
    now: UnixMillis,
) -> Result<()> {
    let content = content(store, item)?;
    let result = ItemResult {
        item: item.item,
        custom_id: content.map(|content| content.custom_id).unwrap_or_default(),
        outcome,
    };
    header.count(&result.outcome);
    let size = size_of(&result);
    header.bytes += size;
    add_bytes(store, size, 0)?;
    table::put(store, &result_prefix(item.batch).u32(item.item.0), &result)?;
    table::delete(store, &content_key(item))?;
    table::delete(store, &progress_key(item))?;
    close(store, header, item.batch, now)
}

/// Completes the batch if every item has its outcome.
pub(super) fn close(
    store: &mut dyn Store,
    header: &mut Header,
    batch: BatchId,
    now: UnixMillis,
) -> Result<()> {
    if header.running > 0 || header.waiting > 0 {
        return Ok(());
    }
    header.state = match header.state {
        BatchState::Running => BatchState::Done,
        BatchState::Cancelling => BatchState::Cancelled,
        BatchState::Uploading | BatchState::Cancelled | BatchState::Done => return Ok(()),
    };
    if let Some(due) = header.due {
        table::delete(store, &due_key(due, batch))?;
    }
    table::delete(store, &open_prefix(&header.customer).u128(batch.0))?;
    let expires = UnixMillis(now.0.saturating_add(header.retention));
    retention::set_expiry(store, header, batch, Some(expires))
}

/// Approximate size of a result, in bytes.
fn size_of(result: &ItemResult) -> u64 {
    let outcome = match &result.outcome {
        ItemOutcome::Done { body, .. } => body.len(),
        ItemOutcome::Failed { reason } => reason.len(),
        ItemOutcome::Poisoned | ItemOutcome::Cancelled | ItemOutcome::Unknown => 0,
    };
    bytes(outcome + result.custom_id.len())
}

/// Converts a length to `u64`.
pub(super) fn bytes(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}

pub(super) fn content_key(item: ItemRef) -> Key {
    contents_prefix(item.batch).u32(item.item.0)
}

/// The prefix of the content keys of a batch.
pub(super) fn contents_prefix(batch: BatchId) -> Key {
    Key::new("item").u128(batch.0)
}

pub(super) fn progress_key(item: ItemRef) -> Key {
    progress_prefix(item.batch).u32(item.item.0)
}

/// The prefix of the progress keys of a batch.
pub(super) fn progress_prefix(batch: BatchId) -> Key {
    Key::new("item-progress").u128(batch.0)
}

/// The prefix of the result keys of a batch.
pub(super) fn result_prefix(batch: BatchId) -> Key {
    Key::new("item-result").u128(batch.0)
}

/// The key of a lease in the expiry index, ordered by expiry time.
pub(super) fn lease_key(until: UnixMillis, item: ItemRef) -> Key {
    Key::new("item-lease")
        .u64(until.0)
        .u128(item.batch.0)
        .u32(item.item.0)
}

pub(super) fn item_ref(batch: BatchId, item: u32) -> ItemRef {
    ItemRef {
        batch,
        item: ItemIndex(item),
    }
}
