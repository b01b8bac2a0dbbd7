//! The file of a store that journals what isn't synced, for tests that cut the power.

use std::{
    fs::{File, OpenOptions},
    io,
    path::Path,
};

use clem_power::Journal;
use redb::{DatabaseError, StorageBackend, StorageError, backends::FileBackend};

/// A file with a journal.
#[derive(Debug)]
pub(crate) struct JournaledFile {
    file: FileBackend,
    journal: Journal,
}

impl JournaledFile {
    pub(crate) fn open(path: &Path) -> Result<Self, DatabaseError> {
        Self::open_both(path).map_err(|e| DatabaseError::Storage(StorageError::Io(e)))?
    }

    fn open_both(path: &Path) -> io::Result<Result<Self, DatabaseError>> {
        let created = !path.exists();
        let file: File = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let journal = Journal::open(path, &file, created)?;
        Ok(FileBackend::new(file).map(|file| Self { file, journal }))
    }
}

impl StorageBackend for JournaledFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.journal.resize(len, || self.file.set_len(len))
    }

    fn sync_data(&self) -> io::Result<()> {
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
