//! The interface between the state machine and its store.

use bytes::Bytes;

use crate::{Pair, Result};

/// An ordered key-value store: what the state machine keeps its records in.
///
/// Calls don't wait for a disk sync: what was written is durable because the log holds it, and
/// the store says up to which entry it has it itself.
pub trait Store {
    /// The value under `key`.
    fn get(&self, key: &[u8]) -> Result<Option<Bytes>>;

    /// Sets the value under `key`, replacing the former one.
    fn put(&mut self, key: &[u8], value: &[u8]) -> Result<()>;

    /// Removes `key`; a key that isn't there is no error.
    fn delete(&mut self, key: &[u8]) -> Result<()>;

    /// The first `limit` pairs from `start` on, in key order, below `end` when there is one.
    fn scan(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>>;

    /// The last `limit` pairs of the same range, in falling key order.
    fn scan_rev(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>>;

    /// The first `limit` pairs whose key starts with `prefix`, in key order.
    ///
    /// To go on after a page, [`scan`](Self::scan) from its last key with a zero byte appended.
    fn scan_prefix(&self, prefix: &[u8], limit: usize) -> Result<Vec<Pair>> {
        let end = prefix_end(prefix);
        self.scan(prefix, end.as_deref(), limit)
    }
}

/// The smallest key above all keys that start with `prefix`; none when there is no such key.
pub fn prefix_end(prefix: &[u8]) -> Option<Vec<u8>> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Some(end);
        }
    }
    None
}
