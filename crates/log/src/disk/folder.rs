//! A data folder that is open for writing.

use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

use super::{
    DiskError, Identity, Result,
    frame::{self, FORMAT, Record, Start},
    identity,
    recover::{Last, replay},
    segment::{self, Active, Closed},
};
use crate::{Base, Entry, HardState, LogIndex, Write};

/// The length after which a new segment is started, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// The file that is locked while the folder is open.
const LOCK: &str = "lock";

/// What a folder remembered.
#[derive(Debug)]
pub struct Recovered {
    /// Who the folder is.
    pub identity: Identity,
    /// Term and vote.
    pub hard: HardState,
    /// Where the log starts.
    pub base: Base,
    /// The entries after it, without gaps.
    pub entries: Vec<Entry>,
    /// How many bytes of a torn write were cut off.
    pub torn_bytes: u64,
}

/// A data folder that is open for writing; its calls block until they are synced.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Held for as long as the folder is open.
    _lock: File,
    identity: Identity,
    hard: HardState,
    base: Base,
    closed: Vec<Closed>,
    active: Active,
    number: u64,
    highest: LogIndex,
}

impl Folder {
    /// Opens `path` and reads back what it remembers; a new folder becomes `fresh`.
    ///
    /// # Errors
    /// Another process uses the folder, the system refuses, or something that was acknowledged
    /// is damaged.
    pub fn open(path: &Path, fresh: Identity) -> Result<(Self, Recovered)> {
        fs::create_dir_all(path).map_err(DiskError::io("create", path))?;
        let lock = lock(path)?;
        let known = identity::read(path)?;
        let replay = replay(path)?;
        let identity = match known {
            Some(identity) => identity,
            None if replay.last.is_some() => {
                return Err(DiskError::damaged(path, 0, "it has a log but no identity"));
            }
            None => {
                identity::write(path, fresh)?;
                fresh
            }
        };
        let (active, number, highest, torn_bytes) = match &replay.last {
            Some(last) => {
                let active = Active::reopen(path, last.segment.number, last.bytes)?;
                (
                    active,
                    last.segment.number,
                    last.segment.highest,
                    last.torn_bytes,
                )
            }
            None => (Active::create(path, 1)?, 1, LogIndex::default(), 0),
        };
        let mut folder = Self {
            path: path.to_owned(),
            _lock: lock,
            identity,
            hard: replay.hard,
            base: replay.base.clone(),
            closed: replay.closed,
            active,
            number,
            highest,
        };
        if replay.last.is_none_or(|last: Last| last.bytes == 0) {
            folder.write_start()?;
        }
        let recovered = Recovered {
            identity,
            hard: replay.hard,
            base: replay.base,
            entries: replay.entries,
            torn_bytes,
        };
        Ok((folder, recovered))
    }

    /// Who the folder is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Remembers that the folder belongs to a cluster.
    ///
    /// # Errors
    /// The system refuses.
    pub fn set_identity(&mut self, identity: Identity) -> Result<()> {
        debug_assert_eq!(
            identity.member, self.identity.member,
            "a folder keeps its member"
        );
        identity::write(&self.path, identity)?;
        self.identity = identity;
        Ok(())
    }

    /// Writes and syncs several writes as one frame.
    ///
    /// # Errors
    /// The system refuses; the folder must not be used any more.
    pub fn write(&mut self, writes: Vec<Write>) -> Result<()> {
        let mut records = Vec::new();
        for write in writes {
            if let Some(hard) = write.hard {
                self.hard = hard;
                records.push(Record::Hard(hard));
            }
            if let Some(base) = write.reset {
                self.base = base.clone();
                records.push(Record::Reset(base));
            }
            records.extend(write.entries.into_iter().map(Record::Entry));
        }
        self.append(&records)
    }

    /// Remembers that the log starts after `base` and removes the segments that are not needed.
    ///
    /// Call it only when all up to `base` is synced elsewhere.
    ///
    /// # Errors
    /// The system refuses; the folder must not be used any more.
    pub fn compact(&mut self, base: Base) -> Result<()> {
        if base.index <= self.base.index {
            return Ok(());
        }
        self.base = base.clone();
        self.append(&[Record::Compact(base)])?;
        let mut kept = Vec::new();
        let mut removed = false;
        for closed in std::mem::take(&mut self.closed) {
            // Only from the front, so that the numbers stay without gaps.
            if !kept.is_empty() || closed.highest > self.base.index {
                kept.push(closed);
                continue;
            }
            let path = segment::path(&self.path, closed.number);
            fs::remove_file(&path).map_err(DiskError::io("remove", &path))?;
            removed = true;
        }
        self.closed = kept;
        if removed {
            identity::sync_folder(&self.path)?;
        }
        Ok(())
    }

    /// Bytes that may still be written to the file system.
    ///
    /// # Errors
    /// The system refuses to tell.
    pub fn free_bytes(&self) -> Result<u64> {
        let free = nix::sys::statvfs::statvfs(&self.path)
            .map_err(|error| DiskError::io("look at", &self.path)(error.into()))?;
        Ok(free.blocks_available().saturating_mul(free.fragment_size()))
    }

    fn append(&mut self, records: &[Record]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let Some(frame) = frame::encode(records) else {
            return Err(DiskError::damaged(
                &self.path,
                0,
                "a write is too long for one frame",
            ));
        };
        self.active.append(&frame)?;
        self.highest = self.highest.max(segment::highest(records));
        if self.active.bytes() >= SEGMENT_BYTES {
            self.rotate()?;
        }
        Ok(())
    }

    fn rotate(&mut self) -> Result<()> {
        let next = Active::create(&self.path, self.number + 1)?;
        self.closed.push(Closed {
            number: self.number,
            highest: self.highest,
        });
        self.active = next;
        self.number += 1;
        self.highest = LogIndex::default();
        self.write_start()
    }

    fn write_start(&mut self) -> Result<()> {
        let start = Start {
            format: FORMAT,
            hard: self.hard,
            base: self.base.clone(),
        };
        let Some(frame) = frame::encode(&[Record::Start(start)]) else {
            return Err(DiskError::damaged(
                &self.path,
                0,
                "a write is too long for one frame",
            ));
        };
        self.active.append(&frame)
    }
}

fn lock(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK);
    let file = File::create(&path).map_err(DiskError::io("create", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DiskError::Locked(folder.to_owned())),
        Err(TryLockError::Error(error)) => Err(DiskError::io("lock", &path)(error)),
    }
}
