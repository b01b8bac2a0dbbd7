//! A store on disk, built on `redb`.

use std::{path::Path, sync::Arc};

use bytes::Bytes;
use redb::{
    Builder, Database, Durability, ReadTransaction, ReadableDatabase, ReadableTable,
    TableDefinition, WriteTransaction, backends::InMemoryBackend,
};

use crate::{Pair, Result, Snapshot, Store, StoreError};

/// The state machine's pairs.
pub(crate) const PAIRS: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("pairs");
/// What the store knows of itself.
const META: TableDefinition<'_, &str, u64> = TableDefinition::new("meta");
/// The index of the last log entry whose writes the store holds.
const APPLIED: &str = "applied";

/// A store on disk: writes gather in one batch, which [`commit`](Self::commit) ends.
///
/// A commit doesn't sync: after a crash the store falls back to its last [`Syncer::sync`], and
/// the log is replayed from there. The log may be cut only up to that index.
pub struct RedbStore {
    // The database waits for its writer when it is dropped, so the batch is dropped before it.
    batch: Option<WriteTransaction>,
    view: ReadTransaction,
    applied: u64,
    db: Arc<Database>,
}

/// Makes a store's commits durable; meant for the thread that does the disk work.
#[derive(Clone)]
pub struct Syncer {
    db: Arc<Database>,
}

impl Syncer {
    /// Makes all commits so far durable and returns the index up to which they reach.
    ///
    /// Takes as long as the disk does. A batch that is started meanwhile waits for it.
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
    /// Opens the store at `path`, or makes an empty one, with a page cache of `cache` bytes.
    ///
    /// What was not durable when the process ended is gone; [`applied`](Self::applied) tells
    /// from which log entry to go on.
    pub fn open(path: &Path, cache: usize) -> Result<Self> {
        let db = Builder::new()
            .set_cache_size(cache)
            .create(path)
            .map_err(|e| StoreError::new("open", e))?;
        Self::begin(db)
    }

    /// Opens an empty store that is gone with the process, for one that has no disk.
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

    /// The index of the last log entry whose writes are committed, durable or not.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Ends the running batch, so that its writes stand together with `applied`.
    ///
    /// The writes aren't durable before the next [`Syncer::sync`].
    pub fn commit(&mut self, applied: u64) -> Result<()> {
        debug_assert!(applied >= self.applied, "the applied index never goes down");
        let mut batch = self.take_batch()?;
        batch
            .set_durability(Durability::None)
            .map_err(|e| StoreError::new("commit", e))?;
        self.finish(batch, applied)
    }

    /// The handle that makes commits durable, for another thread.
    pub fn syncer(&self) -> Syncer {
        Syncer {
            db: Arc::clone(&self.db),
        }
    }

    /// A view of the last commit that later writes don't change, for sending the store away.
    pub fn snapshot(&self) -> Result<Snapshot> {
        let view = self
            .db
            .begin_read()
            .map_err(|e| StoreError::new("snapshot", e))?;
        Ok(Snapshot::new(view, self.applied))
    }

    /// Drops all pairs, to make room for those of a snapshot that comes from elsewhere.
    ///
    /// Nothing is committed until the next [`commit`](Self::commit): a crash before it finds the
    /// former state.
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

    fn read<T>(&self, from: impl Fn(&dyn Pairs) -> Result<T>) -> Result<T> {
        let opened = |e| StoreError::new("open", e);
        match &self.batch {
            Some(batch) => from(&batch.open_table(PAIRS).map_err(opened)?),
            None => from(&self.view.open_table(PAIRS).map_err(opened)?),
        }
    }
}

/// The reads that a table offers, whether of the running batch or of the last commit.
trait Pairs {
    fn get(&self, key: &[u8]) -> Result<Option<Bytes>>;
    fn scan(&self, range: Range<'_>, limit: usize) -> Result<Vec<Pair>>;
}

/// Which keys a scan takes, and in which order.
#[derive(Clone, Copy)]
struct Range<'a> {
    start: &'a [u8],
    end: Option<&'a [u8]>,
    back: bool,
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
            let next = if range.back {
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
        let back = false;
        self.read(|pairs| pairs.scan(Range { start, end, back }, limit))
    }

    fn scan_rev(&self, start: &[u8], end: Option<&[u8]>, limit: usize) -> Result<Vec<Pair>> {
        let back = true;
        self.read(|pairs| pairs.scan(Range { start, end, back }, limit))
    }
}
