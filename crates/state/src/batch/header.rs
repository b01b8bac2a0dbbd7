//! The header of a batch: where it stands, with all counts.

use clem_store::Store;
use clem_types::{BatchId, BodyHash, CustomerId, KeyId, RouteId, UnixMillis};
use clem_wire::batch::{BatchState, BatchView, ItemOutcome, OutcomeCounts};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key},
};

/// How long a sealed batch without a due time is taken to have, besides its items.
const GRACE_MS: u64 = 60_000;
/// How long each item of a batch without a due time adds, so that small batches go first.
const ITEM_MS: u64 = 100;

/// The header of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Header {
    pub(super) customer: CustomerId,
    pub(super) key: KeyId,
    pub(super) weight: u32,
    pub(super) idempotency: Option<String>,
    pub(super) content: Option<BodyHash>,
    pub(super) due: Option<UnixMillis>,
    pub(super) created: UnixMillis,
    pub(super) state: BatchState,
    /// Chunks that have been taken in.
    pub(super) chunks: u32,
    pub(super) items: u32,
    /// Items that neither run nor have an outcome.
    pub(super) waiting: u32,
    pub(super) running: u32,
    pub(super) counts: OutcomeCounts,
    pub(super) routes: Vec<RouteId>,
    /// Bytes of items and results, for the bound on all batches.
    pub(super) bytes: u64,
    /// When the batch is dropped; none while it is accepted and has open items.
    pub(super) expires: Option<UnixMillis>,
    /// How long results are kept, in milliseconds after the last outcome.
    pub(super) retention: u64,
}

impl Header {
    /// When the batch should be finished, also where its customer doesn't say.
    pub(super) fn deadline(&self) -> u64 {
        let implied = GRACE_MS + u64::from(self.items) * ITEM_MS;
        match self.due {
            Some(due) => due.0,
            None => self.created.0.saturating_add(implied),
        }
    }

    /// Counts a final outcome of an item that ran.
    pub(super) fn count(&mut self, outcome: &ItemOutcome) {
        let counter = match outcome {
            ItemOutcome::Done { .. } => &mut self.counts.done,
            ItemOutcome::Failed { .. } => &mut self.counts.failed,
            ItemOutcome::Poisoned => &mut self.counts.poisoned,
            ItemOutcome::Cancelled => &mut self.counts.cancelled,
            ItemOutcome::Unknown => &mut self.counts.unknown,
        };
        *counter += 1;
    }

    /// Whether items may still be leased.
    pub(super) fn is_running(&self) -> bool {
        match self.state {
            BatchState::Running => true,
            BatchState::Uploading
            | BatchState::Cancelling
            | BatchState::Cancelled
            | BatchState::Done => false,
        }
    }

    /// How far the batch is.
    pub(super) fn view(&self, batch: BatchId, now: UnixMillis) -> BatchView {
        BatchView {
            batch,
            state: self.state,
            items: self.items,
            counts: self.counts,
            running: self.running,
            due: self.due,
            endangered: self.is_endangered(now),
            created: self.created,
        }
    }

    /// Whether the batch won't make its due time at the pace that it has had so far.
    pub(super) fn is_endangered(&self, now: UnixMillis) -> bool {
        let Some(due) = self.due.filter(|_| self.is_running()) else {
            return false;
        };
        if now >= due {
            return true;
        }
        let elapsed = now.0.saturating_sub(self.created.0);
        let left = u64::from(self.waiting + self.running);
        let ended = u64::from(self.items) - left;
        if ended == 0 {
            let whole = due.0.saturating_sub(self.created.0);
            return elapsed > whole / 2;
        }
        let needed = u128::from(elapsed) * u128::from(left) / u128::from(ended);
        needed > u128::from(due.0 - now.0)
    }

    pub(super) fn load(store: &dyn Store, batch: BatchId) -> Result<Option<Self>> {
        table::get(store, &key(batch))
    }

    pub(super) fn save(&self, store: &mut dyn Store, batch: BatchId) -> Result<()> {
        let ended = self.counts.done
            + self.counts.failed
            + self.counts.poisoned
            + self.counts.cancelled
            + self.counts.unknown;
        debug_assert_eq!(
            self.items,
            self.waiting + self.running + ended,
            "every item is counted once"
        );
        table::put(store, &key(batch), self)
    }

    pub(super) fn remove(store: &mut dyn Store, batch: BatchId) -> Result<()> {
        table::delete(store, &key(batch))
    }
}

fn key(batch: BatchId) -> Key {
    Key::new("batch").wide(batch.0)
}

// ---------------------------------------------------------------------------------------------
// Other records of a batch

/// The key of an open batch with a due time, ordered by it.
pub(super) fn due_key(due: UnixMillis, batch: BatchId) -> Key {
    Key::new("batch-due").number(due.0).wide(batch.0)
}

/// The open batches of a customer.
pub(super) fn open_key(customer: &CustomerId) -> Key {
    Key::new("batch-open").name(customer.as_str())
}

/// The key that finds a batch by its customer's idempotency key.
pub(super) fn idempotency_key(customer: &CustomerId, text: &str) -> Key {
    let hash = BodyHash::of(text.as_bytes());
    Key::new("batch-idempotency")
        .name(customer.as_str())
        .bytes(hash.as_bytes())
}

/// The key that finds a batch without an idempotency key by its content.
pub(super) fn content_key(customer: &CustomerId, content: BodyHash) -> Key {
    Key::new("batch-content")
        .name(customer.as_str())
        .bytes(content.as_bytes())
}

/// Bytes of all batches together.
pub(super) fn total_bytes(store: &dyn Store) -> Result<u64> {
    Ok(table::get(store, &Key::new("batch-bytes"))?.unwrap_or_default())
}

/// Counts bytes in or out.
pub(super) fn add_bytes(store: &mut dyn Store, added: u64, dropped: u64) -> Result<()> {
    let total = total_bytes(store)?;
    let total = (total + added).saturating_sub(dropped);
    table::put(store, &Key::new("batch-bytes"), &total)
}
