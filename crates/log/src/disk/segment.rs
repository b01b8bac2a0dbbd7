//! One segment file.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::{Path, PathBuf},
};

use super::{DiskError, Result, frame::Record, identity::sync_folder};
use crate::LogIndex;

/// What the names of segment files start with.
const PREFIX: &str = "segment-";

/// The file that frames are appended to.
#[derive(Debug)]
pub(super) struct Active {
    file: File,
    path: PathBuf,
    bytes: u64,
}

/// A segment that is written no more.
#[derive(Debug)]
pub(super) struct Closed {
    /// Its number.
    pub(super) number: u64,
    /// The highest entry in it, also of entries that were replaced later.
    pub(super) highest: LogIndex,
}

/// The path of the segment with this number.
pub(super) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:012}"))
}

/// The number in a segment's file name; none for another file.
pub(super) fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

impl Active {
    /// Starts a new segment and syncs its name; a file of that name must not exist.
    pub(super) fn create(folder: &Path, number: u64) -> Result<Self> {
        let path = path(folder, number);
        let file = OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(&path)
            .map_err(DiskError::io("create", &path))?;
        sync_folder(folder)?;
        Ok(Self {
            file,
            path,
            bytes: 0,
        })
    }

    /// Opens the last segment to go on after its first `bytes` bytes; what stands behind them is
    /// cut off.
    pub(super) fn reopen(folder: &Path, number: u64, bytes: u64) -> Result<Self> {
        let path = path(folder, number);
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(DiskError::io("open", &path))?;
        file.set_len(bytes)
            .map_err(DiskError::io("cut back", &path))?;
        file.sync_all().map_err(DiskError::io("sync", &path))?;
        Ok(Self { file, path, bytes })
    }

    /// Appends a frame and syncs it.
    pub(super) fn append(&mut self, frame: &[u8]) -> Result<()> {
        self.file
            .write_all(frame)
            .map_err(DiskError::io("write", &self.path))?;
        self.file
            .sync_data()
            .map_err(DiskError::io("sync", &self.path))?;
        self.bytes += frame.len() as u64;
        Ok(())
    }

    /// How long the segment is.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }
}

/// The highest entry among `records`.
pub(super) fn highest(records: &[Record]) -> LogIndex {
    let mut highest = LogIndex::default();
    for record in records {
        match record {
            Record::Entry(entry) => highest = highest.max(entry.index),
            Record::Start(_) | Record::Hard(_) | Record::Compact(_) | Record::Reset(_) => {}
        }
    }
    highest
}
