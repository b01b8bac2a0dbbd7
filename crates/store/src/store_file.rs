//! The file of a store, whose length is synced before it is relied on. For tests that cut the power it journals what isn't
//! synced.

use std::{
    fs::{File, OpenOptions},
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use clem_power::Journal;
use redb::{DatabaseError, StorageBackend, StorageError, backends::FileBackend};

/// A file of a store.
#[derive(Debug)]
pub(crate) struct StoreFile {
    file: FileBackend,
    journal: Journal,
    /// Whether it is synced when the database asks for it.
    syncs: Arc<AtomicBool>,
}

impl StoreFile {
    pub(crate) fn open(path: &Path, syncs: Arc<AtomicBool>) -> Result<Self, DatabaseError> {
        Self::open_both(path, syncs).map_err(|e| DatabaseError::Storage(StorageError::Io(e)))?
    }

    fn open_both(path: &Path, syncs: Arc<AtomicBool>) -> io::Result<Result<Self, DatabaseError>> {
        let created = !path.exists();
        let file: File = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let journal = Journal::open(path, &file, created)?;
        Ok(FileBackend::new(file).map(|file| Self {
            file,
            journal,
            syncs,
        }))
    }
}

impl StorageBackend for StoreFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let grows = len > self.file.len()?;
        self.journal.resize(len, || self.file.set_len(len))?;
        // The database refuses a file that is shorter than its header says, which a loss of power would
        // leave if the header lasted and the length didn't.
        if grows {
            self.sync_data()?;
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        if !self.syncs.load(Ordering::Acquire) {
            return Ok(());
        }
        self.journal.sync(|| self.file.sync_data())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let write = || self.file.write(offset, data);
        self.journal.write(offset, data.len(), write)
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}
