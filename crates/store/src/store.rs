//! The store interface of the state machine.

use bytes::Bytes;

use crate::{Pair, Result};

/// An ordered key-value store for the records of the state machine.
///
/// Calls don't wait for a disk sync: writes are durable through the log, which is replayed from the
/// last entry that the store has synced itself.
pub trait Store {
    /// Returns the value of `key`, if present.
    fn get(&self, key: &[u8]) -> Result<Option<Bytes>>;

    /// Sets the value of `key`, replacing any previous one.
    fn put(&mut self, key: &[u8], value: &[u8]) -> Result<()>;

    /// Removes `key`; a missing key is not an error.
    fn delete(&mut self, key: &[u8]) -> Result<()>;

    /// Returns up to `limit` pairs from `start` (inclusive) to `end` (exclusive), in key order.
    ///
    /// Without `end`, the scan goes to the last key.
    fn scan(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>>;

    /// Returns the last `limit` pairs of the same range, in descending key order.
    fn scan_rev(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>>;

    /// Returns the first `limit` pairs whose key starts with `prefix`, in key order.
    ///
    /// The next page is a [`scan`](Self::scan) from the last key with a zero byte appended.
    fn scan_prefix(&self, prefix: &[u8], limit: usize) -> Result<Vec<Pair>> {
        let end = prefix_end(prefix);
        self.scan(prefix, end.as_deref(), limit)
    }
}

/// Returns the smallest key greater than all keys that start with `prefix`, or `None` if there is
/// no such key.
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
