//! A store on disk, based on `redb`.

use std::{
    path::Path,
    sync::{Arc, atomic::AtomicBool},
};

use bytes::Bytes;
use redb::{
    Builder, Database, Durability, ReadTransaction, ReadableDatabase, ReadableTable,
    TableDefinition, WriteTransaction, backends::InMemoryBackend,
};

use crate::{Pair, Result, Snapshot, Store, StoreError, store_file::StoreFile};

/// The pairs of the state machine.
pub(crate) const PAIRS: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("pairs");
/// Metadata of the store.
const META: TableDefinition<'_, &str, u64> = TableDefinition::new("meta");
/// The key in [`META`] of the index of the last applied log entry.
const APPLIED: &str = "applied";

/// A store on disk; writes are collected in a batch until [`commit`](Self::commit).
///
/// A commit doesn't sync: after a crash the store is in the state of its last [`Syncer::sync`], and
/// the log is replayed from there. So the log may be compacted only up to that index.
pub struct RedbStore {
    // Dropping the database blocks until its write transaction ends, so the batch is dropped first.
    batch: Option<WriteTransaction>,
    /// The last commit, which is read while there is no batch.
    view: ReadTransaction,
    applied: u64,
    db: Arc<Database>,
}

/// A handle that makes a store's commits durable, for use on a thread that may block.
#[derive(Clone)]
pub struct Syncer {
    db: Arc<Database>,
}

impl Syncer {
    /// Makes all commits so far durable and returns the last applied index among them.
    ///
    /// Blocks until the data is on disk; starting a batch waits for it.
    pub fn sync(&self) -> Result<u64> {
        let mut batch = begin(&self.db)?;
        batch
            .set_durability(Durability::Immediate)
            .map_err(|e| StoreError::new("sync", e))?;
        batch.set_quick_repair(true);
        let applied = read_applied(&batch)?;
        batch.commit().map_err(|e| StoreError::new("sync", e))?;
        Ok(applied)
    }
}

fn begin(db: &Database) -> Result<WriteTransaction> {
    db.begin_write().map_err(|e| StoreError::new("begin", e))
}

fn read_applied(batch: &WriteTransaction) -> Result<u64> {
    let meta = batch
        .open_table(META)
        .map_err(|e| StoreError::new("open", e))?;
    let applied = meta.get(APPLIED).map_err(|e| StoreError::new("read", e))?;
    Ok(applied.map_or(0, |index| index.value()))
}

impl RedbStore {
    /// Opens or creates the store at `path`, with a page cache of `cache` bytes.
    ///
    /// Commits that were not durable may be lost; [`applied`](Self::applied) tells after which log
    /// entry to continue.
    pub fn open(path: &Path, cache: usize) -> Result<Self> {
        Self::open_file(path, cache, Arc::new(AtomicBool::new(true)))
    }

    /// Opens or creates the store at `path`, whose file is synced only while `syncs` is set.
    pub(crate) fn open_file(path: &Path, cache: usize, syncs: Arc<AtomicBool>) -> Result<Self> {
        let file = StoreFile::open(path, syncs).map_err(|e| StoreError::new("open", e))?;
        let db = Builder::new()
            .set_cache_size(cache)
            .create_with_backend(file)
            .map_err(|e| StoreError::new("open", e))?;
        Self::begin(db)
    }

    /// Creates an empty store in memory, for a process without a disk.
    pub fn in_memory() -> Result<Self> {
        let db = Builder::new()
            .create_with_backend(InMemoryBackend::new())
            .map_err(|e| StoreError::new("open", e))?;
        Self::begin(db)
    }

    fn begin(db: Database) -> Result<Self> {
        let batch = begin(&db)?;
        let applied = read_applied(&batch)?;
        batch
            .open_table(PAIRS)
            .map_err(|e| StoreError::new("open", e))?;
        batch.commit().map_err(|e| StoreError::new("open", e))?;
        let view = db.begin_read().map_err(|e| StoreError::new("open", e))?;
        Ok(Self {
            db: Arc::new(db),
            batch: None,
            view,
            applied,
        })
    }

    /// Returns the index of the last log entry whose writes are committed, durable or not.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Commits the batch atomically with `applied`, the index of the last applied log entry.
    ///
    /// The commit is durable after the next [`Syncer::sync`].
    pub fn commit(&mut self, applied: u64) -> Result<()> {
        debug_assert!(
            applied >= self.applied,
            "the applied index must not decrease"
        );
        let mut batch = self.take_batch()?;
        batch
            .set_durability(Durability::None)
            .map_err(|e| StoreError::new("commit", e))?;
        self.finish(batch, applied)
    }

    /// Returns a handle for syncing commits on another thread.
    pub fn syncer(&self) -> Syncer {
        Syncer {
            db: Arc::clone(&self.db),
        }
    }

    /// Returns a view of the last commit, which later writes don't affect.
    pub fn snapshot(&self) -> Result<Snapshot> {
        let view = self
            .db
            .begin_read()
            .map_err(|e| StoreError::new("snapshot", e))?;
        Ok(Snapshot::new(view, self.applied))
    }

    /// Removes all pairs, before those of a snapshot from another replica are written.
    ///
    /// The removal is part of the batch, so a crash before [`commit`](Self::commit) leaves the old
    /// state.
    pub fn clear(&mut self) -> Result<()> {
        let batch = self.batch()?;
        batch
            .delete_table(PAIRS)
            .map_err(|e| StoreError::new("clear", e))?;
        batch
            .open_table(PAIRS)
            .map_err(|e| StoreError::new("clear", e))?;
        Ok(())
    }

    fn finish(&mut self, batch: WriteTransaction, applied: u64) -> Result<()> {
        {
            let mut meta = batch
                .open_table(META)
                .map_err(|e| StoreError::new("commit", e))?;
            meta.insert(APPLIED, applied)
                .map_err(|e| StoreError::new("commit", e))?;
        }
        batch.commit().map_err(|e| StoreError::new("commit", e))?;
        self.view = self
            .db
            .begin_read()
            .map_err(|e| StoreError::new("commit", e))?;
        self.applied = applied;
        Ok(())
    }

    /// Returns the current batch, starting one if there is none.
    fn batch(&mut self) -> Result<&WriteTransaction> {
        let batch = self.take_batch()?;
        Ok(self.batch.insert(batch))
    }

    fn take_batch(&mut self) -> Result<WriteTransaction> {
        match self.batch.take() {
            Some(batch) => Ok(batch),
            None => begin(&self.db),
        }
    }

    /// Reads from the current batch, or from the last commit if there is none.
    fn read<T>(&self, from: impl Fn(&dyn Pairs) -> Result<T>) -> Result<T> {
        let opened = |e| StoreError::new("open", e);
        match &self.batch {
            Some(batch) => from(&batch.open_table(PAIRS).map_err(opened)?),
            None => from(&self.view.open_table(PAIRS).map_err(opened)?),
        }
    }
}

/// Reads of a table, either in the current batch or in the last commit.
trait Pairs {
    fn get(&self, key: &[u8]) -> Result<Option<Bytes>>;
    fn scan(&self, range: Range<'_>, limit: usize) -> Result<Vec<Pair>>;
}

/// The keys of a scan and its direction.
#[derive(Clone, Copy)]
struct Range<'a> {
    start: &'a [u8],
    /// Exclusive; `None` scans to the last key.
    end: Option<&'a [u8]>,
    reverse: bool,
}

impl<T: ReadableTable<&'static [u8], &'static [u8]>> Pairs for T {
    fn get(&self, key: &[u8]) -> Result<Option<Bytes>> {
        let value = ReadableTable::get(self, key).map_err(|e| StoreError::new("read", e))?;
        Ok(value.map(|value| Bytes::copy_from_slice(value.value())))
    }

    fn scan(&self, range: Range<'_>, limit: usize) -> Result<Vec<Pair>> {
        let failed = |e| StoreError::new("read", e);
        let mut rows = match range.end {
            Some(end) if end <= range.start => return Ok(Vec::new()),
            Some(end) => self.range::<&[u8]>(range.start..end).map_err(failed)?,
            None => self.range::<&[u8]>(range.start..).map_err(failed)?,
        };
        let mut pairs = Vec::new();
        while pairs.len() < limit {
            let next = if range.reverse {
                rows.next_back()
            } else {
                rows.next()
            };
            let Some(row) = next else {
                break;
            };
            let (key, value) = row.map_err(failed)?;
            pairs.push(Pair {
                key: Bytes::copy_from_slice(key.value()),
                value: Bytes::copy_from_slice(value.value()),
            });
        }
        Ok(pairs)
    }
}

impl Store for RedbStore {
    fn get(&self, key: &[u8]) -> Result<Option<Bytes>> {
        self.read(|pairs| pairs.get(key))
    }

    fn put(&mut self, key: &[u8], value: &[u8]) -> Result<()> {
        let mut table = self
            .batch()?
            .open_table(PAIRS)
            .map_err(|e| StoreError::new("write", e))?;
        table
            .insert(key, value)
            .map_err(|e| StoreError::new("write", e))?;
        Ok(())
    }

    fn delete(&mut self, key: &[u8]) -> Result<()> {
        let mut table = self
            .batch()?
            .open_table(PAIRS)
            .map_err(|e| StoreError::new("write", e))?;
        table.remove(key).map_err(|e| StoreError::new("write", e))?;
        Ok(())
    }

    fn scan(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>> {
        let reverse = false;
        self.read(|pairs| {
            pairs.scan(
                Range {
                    start,
                    end,
                    reverse,
                },
                limit,
            )
        })
    }

    fn scan_rev(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>> {
        let reverse = true;
        self.read(|pairs| {
            pairs.scan(
                Range {
                    start,
                    end,
                    reverse,
                },
                limit,
            )
        })
    }
}
