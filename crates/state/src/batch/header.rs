//! The header of a batch: its attributes, state and counts.

use clem_store::Store;
use clem_types::{BatchId, BodyHash, CustomerId, KeyId, RouteId, UnixMillis};
use clem_wire::batch::{BatchState, BatchView, ItemOutcome, OutcomeCounts};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key},
};

/// Fixed part of the implied deadline of a batch without one, in milliseconds after its seal.
const IMPLIED_DUE_MS: u64 = 60_000;
/// Part of the implied deadline per item, in milliseconds, so that smaller batches come first.
const IMPLIED_DUE_ITEM_MS: u64 = 100;

/// The header of a batch, which is stored from the start of the upload until the batch is dropped.
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
    /// Number of stored chunks.
    pub(super) chunks: u32,
    pub(super) items: u32,
    /// Number of items that are neither running nor finished.
    pub(super) waiting: u32,
    pub(super) running: u32,
    pub(super) counts: OutcomeCounts,
    pub(super) routes: Vec<RouteId>,
    /// Size of items and results in bytes, counted towards the limit on all batches.
    pub(super) bytes: u64,
    /// When the batch is dropped; `None` while it is accepted and has unfinished items.
    pub(super) expires: Option<UnixMillis>,
    /// How long results are kept after the last outcome, in milliseconds.
    pub(super) retention: u64,
}

impl Header {
    /// The deadline for queueing, in Unix milliseconds; derived from the size if the customer set
    /// none.
    pub(super) fn deadline(&self) -> u64 {
        let implied = IMPLIED_DUE_MS + u64::from(self.items) * IMPLIED_DUE_ITEM_MS;
        match self.due {
            Some(due) => due.0,
            None => self.created.0.saturating_add(implied),
        }
    }

    /// Counts the final outcome of an item.
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

    /// Whether items may be leased and leases renewed.
    pub(super) fn is_running(&self) -> bool {
        match self.state {
            BatchState::Running => true,
            BatchState::Uploading
            | BatchState::Cancelling
            | BatchState::Cancelled
            | BatchState::Done => false,
        }
    }

    /// The batch's progress, as its customer sees it.
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

    /// Whether the batch will miss its deadline at its average pace so far. Before the first
    /// outcome, that is assumed once half of the time has passed.
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
    Key::new("batch").u128(batch.0)
}

// ---------------------------------------------------------------------------------------------
// Other records of a batch

/// The key of an open batch with a deadline, ordered by deadline.
pub(super) fn due_key(due: UnixMillis, batch: BatchId) -> Key {
    Key::new("batch-due").u64(due.0).u128(batch.0)
}

/// The prefix of the keys of a customer's open batches.
pub(super) fn open_prefix(customer: &CustomerId) -> Key {
    Key::new("batch-open").name(customer.as_str())
}

/// The key that maps a customer's idempotency key to its batch.
pub(super) fn idempotency_key(customer: &CustomerId, text: &str) -> Key {
    let hash = BodyHash::of(text.as_bytes());
    Key::new("batch-idempotency")
        .name(customer.as_str())
        .bytes(hash.as_bytes())
}

/// The key that maps the content of a batch without an idempotency key to the batch.
pub(super) fn content_key(customer: &CustomerId, content: BodyHash) -> Key {
    Key::new("batch-content")
        .name(customer.as_str())
        .bytes(content.as_bytes())
}

/// Total size of all batches, in bytes.
pub(super) fn total_bytes(store: &dyn Store) -> Result<u64> {
    Ok(table::get(store, &Key::new("batch-bytes"))?.unwrap_or_default())
}

/// Updates the total size of all batches.
pub(super) fn add_bytes(store: &mut dyn Store, added: u64, dropped: u64) -> Result<()> {
    let total = total_bytes(store)?;
    let total = (total + added).saturating_sub(dropped);
    table::put(store, &Key::new("batch-bytes"), &total)
}
