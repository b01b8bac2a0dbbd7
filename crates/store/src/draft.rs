//! A store that is written as a whole before it is used.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use crate::{RedbStore, Result, Store as _};

/// A new store that syncs nothing until it is complete, so that writing to it doesn't wait for the disk.
///
/// After a crash before [`finish`](Self::finish) has returned, its file may not open.
pub struct Draft {
    store: RedbStore,
    syncs: Arc<AtomicBool>,
}

impl Draft {
    /// Creates the store at `path`, where no file may be, with a page cache of `cache` bytes.
    pub fn create(path: &Path, cache: usize) -> Result<Self> {
        let syncs = Arc::new(AtomicBool::new(false));
        let store = RedbStore::open_file(path, cache, Arc::clone(&syncs))?;
        Ok(Self { store, syncs })
    }

    /// Writes a pair.
    pub fn put(&mut self, key: &[u8], value: &[u8]) -> Result<()> {
        self.store.put(key, value)
    }

    /// Makes all pairs durable, with `applied` as the index of the last applied log entry.
    ///
    /// Blocks until the data is on disk.
    pub fn finish(mut self, applied: u64) -> Result<()> {
        self.store.commit(applied)?;
        self.syncs.store(true, Ordering::Release);
        self.store.syncer().sync()?;
        Ok(())
    }
}
