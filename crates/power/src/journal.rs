//! The journal of one file: what its writes have replaced since its last sync.

use std::{
    fs::{File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    os::unix::{
        ffi::OsStrExt,
        fs::{FileExt, MetadataExt},
    },
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
};

use crate::{fault, side};

/// The prefix of the names of journals, before the number of the file.
pub(crate) const PREFIX: &str = "file-";

/// A change of a file that isn't synced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// The file was created.
    Create,
    /// Bytes were written.
    Write {
        offset: u64,
        count: u64,
        /// The length of the file before.
        length: u64,
        /// What stood there, up to that length.
        replaced: Vec<u8>,
    },
    /// The length was set.
    Resize {
        to: u64,
        /// The length of the file before.
        length: u64,
        /// What stood after the new length.
        replaced: Vec<u8>,
    },
}

/// The journal of a file; it does nothing without a side folder.
#[derive(Debug)]
pub struct Journal {
    open: Option<Mutex<Open>>,
}

#[derive(Debug)]
struct Open {
    /// The file itself, for reading.
    file: File,
    log: File,
    /// Where the changes begin.
    start: u64,
}

impl Journal {
    /// Opens the journal of `file`, which is open for reading too; `created` tells whether it is new.
    ///
    /// # Errors
    /// A system call fails.
    pub fn open(path: &Path, file: &File, created: bool) -> io::Result<Self> {
        let Some(side) = side::folder() else {
            return Ok(Self { open: None });
        };
        let open = Open::new(side, path, file.try_clone()?, created)?;
        Ok(Self {
            open: Some(Mutex::new(open)),
        })
    }

    /// Writes `count` bytes at `offset` by `write`.
    ///
    /// # Errors
    /// A system call fails, or the disk is full.
    pub fn write(
        &self,
        offset: u64,
        count: usize,
        write: impl FnOnce() -> io::Result<()>,
    ) -> io::Result<()> {
        let Some(open) = &self.open else {
            return write();
        };
        let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
        fault::check_write()?;
        open.note_write(offset, count as u64)?;
        write()
    }

    /// Sets the length by `resize`.
    ///
    /// # Errors
    /// A system call fails, or the disk is full.
    pub fn resize(&self, to: u64, resize: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        let Some(open) = &self.open else {
            return resize();
        };
        let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
        fault::check_write()?;
        open.note_resize(to)?;
        resize()
    }

    /// Syncs the file by `sync`.
    ///
    /// # Errors
    /// A system call fails.
    pub fn sync(&self, sync: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        let Some(open) = &self.open else {
            return sync();
        };
        // Writes of other threads wait, as they may be synced or not.
        let open = open.lock().unwrap_or_else(PoisonError::into_inner);
        fault::wait();
        sync()?;
        open.log.set_len(open.start)
    }
}

impl Open {
    fn new(side: &Path, path: &Path, file: File, created: bool) -> io::Result<Self> {
        let number = file.metadata()?.ino();
        let mut log = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .append(true)
            .open(side.join(format!("{PREFIX}{number}")))?;
        let header = header(path);
        let start = header.len() as u64;
        let mut known = Vec::new();
        (&log).take(start).read_to_end(&mut known)?;
        // A file that was killed with its process still has what was not synced.
        if created || known != header {
            log.set_len(0)?;
            log.write_all(&header)?;
        }
        let mut open = Self { file, log, start };
        if created {
            open.append(&Change::Create)?;
        }
        Ok(open)
    }

    fn note_write(&mut self, offset: u64, count: u64) -> io::Result<()> {
        let length = self.file.metadata()?.len();
        let replaced = self.read(offset, (offset + count).min(length))?;
        self.append(&Change::Write {
            offset,
            count,
            length,
            replaced,
        })
    }

    fn note_resize(&mut self, to: u64) -> io::Result<()> {
        let length = self.file.metadata()?.len();
        let replaced = self.read(to, length)?;
        self.append(&Change::Resize {
            to,
            length,
            replaced,
        })
    }

    fn read(&self, from: u64, to: u64) -> io::Result<Vec<u8>> {
        let count = usize::try_from(to.saturating_sub(from)).map_err(io::Error::other)?;
        let mut bytes = vec![0; count];
        self.file.read_exact_at(&mut bytes, from)?;
        Ok(bytes)
    }

    fn append(&mut self, change: &Change) -> io::Result<()> {
        self.log.write_all(&encode(change))
    }
}

fn header(path: &Path) -> Vec<u8> {
    let path = path.as_os_str().as_bytes();
    let mut bytes = (path.len() as u64).to_le_bytes().to_vec();
    bytes.extend_from_slice(path);
    bytes
}

fn encode(change: &Change) -> Vec<u8> {
    let (kind, numbers, replaced): (u64, [u64; 3], &[u8]) = match change {
        Change::Create => (0, [0; 3], &[]),
        Change::Write {
            offset,
            count,
            length,
            replaced,
        } => (1, [*offset, *count, *length], replaced),
        Change::Resize {
            to,
            length,
            replaced,
        } => (2, [*to, 0, *length], replaced),
    };
    let mut bytes = kind.to_le_bytes().to_vec();
    for number in numbers {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    bytes.extend_from_slice(&(replaced.len() as u64).to_le_bytes());
    bytes.extend_from_slice(replaced);
    bytes
}

/// Reads the path and the changes of a journal. A change that is incomplete was not begun.
pub(crate) fn read(journal: &Path) -> io::Result<Option<(PathBuf, Vec<Change>)>> {
    let mut file = File::open(journal)?;
    file.seek(SeekFrom::Start(0))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let mut rest = bytes.as_slice();
    let Some(path) = take_number(&mut rest).and_then(|length| take(&mut rest, length)) else {
        return Ok(None);
    };
    let path = PathBuf::from(std::ffi::OsStr::from_bytes(path));
    let mut changes = Vec::new();
    while let Some(change) = decode(&mut rest) {
        changes.push(change);
    }
    Ok(Some((path, changes)))
}

fn decode(rest: &mut &[u8]) -> Option<Change> {
    let kind = take_number(rest)?;
    let offset = take_number(rest)?;
    let count = take_number(rest)?;
    let length = take_number(rest)?;
    let bytes = take_number(rest)?;
    let replaced = take(rest, bytes)?.to_vec();
    match kind {
        0 => Some(Change::Create),
        1 => Some(Change::Write {
            offset,
            count,
            length,
            replaced,
        }),
        2 => Some(Change::Resize {
            to: offset,
            length,
            replaced,
        }),
        // No journal has another kind.
        3.. => None,
    }
}

fn take_number(rest: &mut &[u8]) -> Option<u64> {
    let bytes = take(rest, 8)?;
    Some(u64::from_le_bytes(bytes.try_into().ok()?))
}

fn take<'a>(rest: &mut &'a [u8], count: u64) -> Option<&'a [u8]> {
    let (taken, left) = rest.split_at_checked(usize::try_from(count).ok()?)?;
    *rest = left;
    Some(taken)
}
