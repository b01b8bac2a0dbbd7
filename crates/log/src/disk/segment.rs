//! Segment files.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::{Path, PathBuf},
};

use clem_power::Journal;

use super::{DiskError, Result, frame::Record, identity::sync_folder};
use crate::LogIndex;

/// The prefix of the names of segment files, before the number.
const PREFIX: &str = "segment-";

/// The segment that frames are appended to.
#[derive(Debug)]
pub(super) struct Active {
    file: File,
    journal: Journal,
    path: PathBuf,
    bytes: u64,
}

/// The number and the highest index of a segment.
#[derive(Debug)]
pub(super) struct SegmentInfo {
    /// The number in its file name.
    pub(super) number: u64,
    /// The highest index of its entries, including entries that were replaced later.
    pub(super) highest: LogIndex,
}

/// Returns the path of the segment with this number.
pub(super) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:012}"))
}

/// Parses the number from a segment's file name; `None` for other files.
pub(super) fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

impl Active {
    /// Creates a segment and syncs the folder; fails if the file exists.
    pub(super) fn create(folder: &Path, number: u64) -> Result<Self> {
        let path = path(folder, number);
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .create_new(true)
            .open(&path)
            .map_err(DiskError::io("create", &path))?;
        let journal = open_journal(&path, &file, true)?;
        sync_folder(folder)?;
        Ok(Self {
            file,
            journal,
            path,
            bytes: 0,
        })
    }

    /// Opens the last segment for appending, truncated to its first `bytes` bytes.
    pub(super) fn reopen(folder: &Path, number: u64, bytes: u64) -> Result<Self> {
        let path = path(folder, number);
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .open(&path)
            .map_err(DiskError::io("open", &path))?;
        let journal = open_journal(&path, &file, false)?;
        journal
            .resize(bytes, || file.set_len(bytes))
            .map_err(DiskError::io("truncate", &path))?;
        journal
            .sync(|| file.sync_all())
            .map_err(DiskError::io("sync", &path))?;
        Ok(Self {
            file,
            journal,
            path,
            bytes,
        })
    }

    /// Appends a frame and syncs it.
    pub(super) fn append(&mut self, frame: &[u8]) -> Result<()> {
        let file = &mut self.file;
        self.journal
            .write(self.bytes, frame.len(), || file.write_all(frame))
            .map_err(DiskError::io("write", &self.path))?;
        self.journal
            .sync(|| file.sync_data())
            .map_err(DiskError::io("sync", &self.path))?;
        self.bytes += frame.len() as u64;
        Ok(())
    }

    /// Returns the size of the segment.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn open_journal(path: &Path, file: &File, created: bool) -> Result<Journal> {
    Journal::open(path, file, created).map_err(DiskError::io("journal", path))
}

/// Returns the highest index of the entries in `records`, or 0 if there are none.
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
