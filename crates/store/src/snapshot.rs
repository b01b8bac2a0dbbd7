//! A view of one commit of a store.

use std::ops::Bound;

use bytes::Bytes;
use redb::ReadTransaction;

use crate::{Pair, Result, StoreError, redb_store::PAIRS};

/// A view of one commit that later writes don't affect; it is read page by page, for sending it to
/// another replica.
pub struct Snapshot {
    view: ReadTransaction,
    applied: u64,
}

impl Snapshot {
    pub(crate) fn new(view: ReadTransaction, applied: u64) -> Self {
        Self { view, applied }
    }

    /// Returns the index of the last log entry that is applied in this view.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the pairs after the key `after`, or from the first, in key order.
    ///
    /// The page ends with the pair that reaches `bytes`, so it may be larger. It is empty only at
    /// the end of the store.
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
