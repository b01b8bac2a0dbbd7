//! A view of a store that later writes don't change.

use std::ops::Bound;

use bytes::Bytes;
use redb::ReadTransaction;

use crate::{Pair, Result, StoreError, redb_store::PAIRS};

/// A view of one commit, sent page by page to a replica that lacks it.
pub struct Snapshot {
    view: ReadTransaction,
    applied: u64,
}

impl Snapshot {
    pub(crate) fn new(view: ReadTransaction, applied: u64) -> Self {
        Self { view, applied }
    }

    /// The index of the last log entry that the view holds.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The pairs above `after`, or from the first on, up to about `bytes`; empty at the end.
    ///
    /// Holds at least one pair unless it is the end, however large that pair is.
    pub fn page(&self, after: Option<&[u8]>, bytes: usize) -> Result<Vec<Pair>> {
        let failed = |e| StoreError::new("read", e);
        let table = self
            .view
            .open_table(PAIRS)
            .map_err(|e| StoreError::new("read", e))?;
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rows = table
            .range::<&[u8]>((start, Bound::Unbounded))
            .map_err(failed)?;
        let mut page = Vec::new();
        let mut size = 0;
        for row in rows {
            let (key, value) = row.map_err(failed)?;
            let pair = Pair {
                key: Bytes::copy_from_slice(key.value()),
                value: Bytes::copy_from_slice(value.value()),
            };
            size += pair.size();
            page.push(pair);
            if size >= bytes {
                break;
            }
        }
        Ok(page)
    }
}
