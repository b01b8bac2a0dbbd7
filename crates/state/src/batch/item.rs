//! Items: their content, their attempts and their results.

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
    header::{Header, add_bytes, due_key, open_key},
    retention,
};

/// After so many attempts that were lost without a crash an item has failed.
pub const MAX_LOSSES: u32 = 3;
/// After so many attempts during which the target died an item has failed, where others than the
/// item may be to blame.
pub const MAX_CRASHES: u32 = 4;

/// What is known of an item that has been leased before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Progress {
    /// The latest attempt.
    pub(super) attempt: Attempt,
    /// Attempts that were lost without a crash.
    pub(super) losses: u32,
    /// Attempts during which the target died.
    pub(super) crashes: u32,
    /// The lease of the latest attempt; none when the item waits again.
    pub(super) lease: Option<Held>,
}

/// Who holds an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Held {
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

/// Writes the final outcome of an item that doesn't wait in the queue any more; the caller has
/// taken it out of the header's waiting or running count.
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
    table::put(store, &result_key(item.batch).small(item.item.0), &result)?;
    table::delete(store, &content_key(item))?;
    table::delete(store, &progress_key(item))?;
    close(store, header, item.batch, now)
}

/// Ends a batch of which every item has its outcome.
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
    table::delete(store, &open_key(&header.customer).wide(batch.0))?;
    let expires = UnixMillis(now.0.saturating_add(header.retention));
    retention::set(store, header, batch, Some(expires))
}

/// About how many bytes a result takes up.
fn size_of(result: &ItemResult) -> u64 {
    let outcome = match &result.outcome {
        ItemOutcome::Done { body, .. } => body.len(),
        ItemOutcome::Failed { reason } => reason.len(),
        ItemOutcome::Poisoned | ItemOutcome::Cancelled | ItemOutcome::Unknown => 0,
    };
    bytes(outcome + result.custom_id.len())
}

/// A length as a count of bytes.
pub(super) fn bytes(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}

pub(super) fn content_key(item: ItemRef) -> Key {
    contents_key(item.batch).small(item.item.0)
}

pub(super) fn contents_key(batch: BatchId) -> Key {
    Key::new("item").wide(batch.0)
}

pub(super) fn progress_key(item: ItemRef) -> Key {
    all_progress_key(item.batch).small(item.item.0)
}

pub(super) fn all_progress_key(batch: BatchId) -> Key {
    Key::new("item-progress").wide(batch.0)
}

pub(super) fn result_key(batch: BatchId) -> Key {
    Key::new("item-result").wide(batch.0)
}

/// The key of a lease, ordered by its end.
pub(super) fn lease_key(until: UnixMillis, item: ItemRef) -> Key {
    Key::new("item-lease")
        .number(until.0)
        .wide(item.batch.0)
        .small(item.item.0)
}

pub(super) fn item_ref(batch: BatchId, item: u32) -> ItemRef {
    ItemRef {
        batch,
        item: ItemIndex(item),
    }
}
