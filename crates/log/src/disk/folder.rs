//! The data folder of a member.

use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

use super::{
    DiskError, Identity, Result, RoomProbe,
    frame::{self, FORMAT, Record, Start},
    identity,
    recover::{Last, replay},
    segment::{self, Active, SegmentInfo},
};
use crate::{Entry, HardState, LogIndex, SnapshotMetadata, Write};

/// The size at which a segment is closed and the next one started.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// The name of the file that is locked while the folder is open.
const LOCK: &str = "lock";

/// The state read from a folder when it is opened.
#[derive(Debug)]
pub struct Recovered {
    /// The member, and its cluster if it belongs to one.
    pub identity: Identity,
    /// The last written term and vote.
    pub hard: HardState,
    /// The point after which the log starts.
    pub base: SnapshotMetadata,
    /// The entries after `base`, without gaps.
    pub entries: Vec<Entry>,
    /// The bytes of an incomplete write that were truncated.
    pub torn_bytes: u64,
}

/// An open data folder. Methods that write block until the data is synced.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Keeps the lock until the folder is dropped.
    _lock: File,
    identity: Identity,
    hard: HardState,
    base: SnapshotMetadata,
    closed: Vec<SegmentInfo>,
    active: Active,
    /// The number of the active segment.
    number: u64,
    /// The highest index of an entry in the active segment.
    highest: LogIndex,
}

impl Folder {
    /// Opens the folder at `path` and reads its state; a new folder gets the identity `fresh`.
    ///
    /// # Errors
    /// Another process has the folder open, a system call fails, or acknowledged data is damaged.
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
        // A segment without a complete frame lacks its start record.
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

    /// Returns the identity, with the cluster once it is set.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Records the cluster that the folder belongs to; the member must not change.
    ///
    /// # Errors
    /// A system call fails.
    pub fn set_identity(&mut self, identity: Identity) -> Result<()> {
        debug_assert_eq!(
            identity.member, self.identity.member,
            "the member of a folder must not change"
        );
        identity::write(&self.path, identity)?;
        self.identity = identity;
        Ok(())
    }

    /// Writes and syncs several writes as one frame.
    ///
    /// # Errors
    /// A system call fails, or the writes exceed a frame; the folder must not be used afterwards.
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

    /// Records that the log starts after `base`, and removes the oldest segments if all their
    /// entries are up to `base`.
    ///
    /// The state machine must be durable up to `base`.
    ///
    /// # Errors
    /// A system call fails; the folder must not be used afterwards.
    pub fn compact(&mut self, base: SnapshotMetadata) -> Result<()> {
        if base.index <= self.base.index {
            return Ok(());
        }
        self.base = base.clone();
        self.append(&[Record::Compact(base)])?;
        let mut kept = Vec::new();
        let mut removed = false;
        for closed in std::mem::take(&mut self.closed) {
            // Stops at the first segment to keep: recovery accepts gaps only before it.
            if !kept.is_empty() || closed.highest > self.base.index {
                kept.push(closed);
                continue;
            }
            let path = segment::path(&self.path, closed.number);
            clem_power::remove(&path).map_err(DiskError::io("remove", &path))?;
            removed = true;
        }
        self.closed = kept;
        if removed {
            identity::sync_folder(&self.path)?;
        }
        Ok(())
    }

    /// Returns the bytes available to the folder, by `probe`.
    ///
    /// # Errors
    /// The system call fails.
    pub fn free_bytes(&self, probe: &dyn RoomProbe) -> Result<u64> {
        probe
            .free_bytes(&self.path)
            .map_err(DiskError::io("get the free space of", &self.path))
    }

    fn append(&mut self, records: &[Record]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let Some(frame) = frame::encode(records) else {
            return Err(DiskError::damaged(
                &self.path,
                0,
                "a write exceeds the maximum frame size",
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
        self.closed.push(SegmentInfo {
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
                "a write exceeds the maximum frame size",
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
