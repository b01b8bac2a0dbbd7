//! A store in memory, for tests.

use std::{collections::BTreeMap, ops::Bound};

use bytes::Bytes;

use crate::{Pair, Result, Store};

/// A store in memory, for tests; it implements `Eq`, so that a test can compare replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemStore {
    pairs: BTreeMap<Bytes, Bytes>,
}

impl MemStore {
    /// Returns the number of pairs.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns whether there are no pairs.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    fn range(
        &self,
        start: &[u8],
        end: Option<&[u8]>,
    ) -> impl DoubleEndedIterator<Item = Pair> + '_ {
        let end = match end {
            // `BTreeMap::range` panics if the end is before the start; here that range is empty.
            Some(end) => Bound::Excluded(end.max(start)),
            None => Bound::Unbounded,
        };
        self.pairs
            .range::<[u8], _>((Bound::Included(start), end))
            .map(|(key, value)| Pair {
                key: key.clone(),
                value: value.clone(),
            })
    }
}

impl Store for MemStore {
    fn get(&self, key: &[u8]) -> Result<Option<Bytes>> {
        Ok(self.pairs.get(key).cloned())
    }

    fn put(&mut self, key: &[u8], value: &[u8]) -> Result<()> {
        let key = Bytes::copy_from_slice(key);
        self.pairs.insert(key, Bytes::copy_from_slice(value));
        Ok(())
    }

    fn delete(&mut self, key: &[u8]) -> Result<()> {
        self.pairs.remove(key);
        Ok(())
    }

    fn scan(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>> {
        Ok(self.range(start, end).take(limit).collect())
    }

    fn scan_rev(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>> {
        Ok(self.range(start, end).rev().take(limit).collect())
    }
}
