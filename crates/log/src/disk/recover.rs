//! Recovery of the log from the segments of a folder.

use std::{fs, path::Path};

use super::{
    DiskError, Result,
    frame::{self, FORMAT, Found, Record},
    segment::{self, SegmentInfo},
};
use crate::{Entry, HardState, LogIndex, SnapshotMetadata};

/// The state recovered from the segments of a folder.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard: HardState,
    pub(super) base: SnapshotMetadata,
    pub(super) entries: Vec<Entry>,
    /// All segments but the last.
    pub(super) closed: Vec<SegmentInfo>,
    /// The last segment, which is appended to; `None` in a new folder.
    pub(super) last: Option<Last>,
}

/// The last segment of a folder.
#[derive(Debug)]
pub(super) struct Last {
    pub(super) segment: SegmentInfo,
    /// The size of its valid frames.
    pub(super) bytes: u64,
    /// The size of the incomplete frame after them.
    pub(super) torn_bytes: u64,
}

/// Reads all segments of `folder` in order.
pub(super) fn replay(folder: &Path) -> Result<Replay> {
    let numbers = segment_numbers(folder)?;
    let mut replay = Replay::default();
    for (at, number) in numbers.iter().enumerate() {
        let is_last = at + 1 == numbers.len();
        replay.read_segment(folder, *number, is_last)?;
    }
    replay.check(folder)?;
    Ok(replay)
}

fn segment_numbers(folder: &Path) -> Result<Vec<u64>> {
    let list = fs::read_dir(folder).map_err(DiskError::io("read", folder))?;
    let mut numbers = Vec::new();
    for file in list {
        let file = file.map_err(DiskError::io("read", folder))?;
        let Some(number) = file.file_name().to_str().and_then(segment::number) else {
            continue;
        };
        numbers.push(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

impl Replay {
    fn read_segment(&mut self, folder: &Path, number: u64, is_last: bool) -> Result<()> {
        let path = segment::path(folder, number);
        let bytes = fs::read(&path).map_err(DiskError::io("read", &path))?;
        let mut highest = LogIndex::default();
        let mut at = 0;
        loop {
            match frame::read(&bytes, at) {
                Found::Frame { records, end } => {
                    highest = highest.max(segment::highest(&records));
                    self.apply(records, &path, at)?;
                    at = end;
                }
                Found::End => break,
                Found::Damage(reason) => {
                    // A damaged frame at the end of the log was never acknowledged; any other was.
                    if !is_last || frame::any_after(&bytes, at) {
                        return Err(DiskError::damaged(&path, at as u64, reason));
                    }
                    break;
                }
            }
        }
        let segment = SegmentInfo { number, highest };
        if is_last {
            let torn_bytes = (bytes.len() - at) as u64;
            self.last = Some(Last {
                segment,
                bytes: at as u64,
                torn_bytes,
            });
        } else {
            self.closed.push(segment);
        }
        Ok(())
    }

    fn apply(&mut self, records: Vec<Record>, path: &Path, at: usize) -> Result<()> {
        for record in records {
            match record {
                Record::Start(start) => {
                    if start.format != FORMAT {
                        let reason = "the segment has an unsupported format version";
                        return Err(DiskError::damaged(path, at as u64, reason));
                    }
                    self.hard = start.hard;
                    self.compact(start.base);
                }
                Record::Hard(hard) => self.hard = hard,
                Record::Compact(base) => self.compact(base),
                Record::Reset(base) => {
                    self.entries.clear();
                    self.base = base;
                }
                Record::Entry(entry) => {
                    self.replace_from(entry);
                }
            }
        }
        Ok(())
    }

    /// Appends an entry after dropping those at its index and above.
    fn replace_from(&mut self, entry: Entry) {
        while self
            .entries
            .last()
            .is_some_and(|last| last.index >= entry.index)
        {
            self.entries.pop();
        }
        self.entries.push(entry);
    }

    fn compact(&mut self, base: SnapshotMetadata) {
        self.entries.retain(|entry| entry.index > base.index);
        self.base = base;
    }

    /// Checks that no segment is missing, and that the entries follow the base without gaps; a gap
    /// means that synced data is lost.
    ///
    /// A power loss may undo any of the removals of a compaction, so segments may be missing after
    /// those that lie entirely below the base.
    fn check(&self, folder: &Path) -> Result<()> {
        let last = self.last.iter().map(|last| &last.segment);
        let segments: Vec<&SegmentInfo> = self.closed.iter().chain(last).collect();
        let mut highest = LogIndex::default();
        for pair in segments.windows(2) {
            highest = highest.max(pair[0].highest);
            if pair[0].number + 1 != pair[1].number && highest > self.base.index {
                let missing = segment::path(folder, pair[0].number + 1);
                return Err(DiskError::damaged(&missing, 0, "the segment is missing"));
            }
        }
        let mut expected = self.base.index.next();
        for entry in &self.entries {
            if entry.index != expected {
                return Err(DiskError::damaged(
                    folder,
                    0,
                    "entries are missing from the log",
                ));
            }
            expected = expected.next();
        }
        Ok(())
    }
}
