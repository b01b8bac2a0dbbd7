//! Puts a data folder into a state in which a loss of power may have left it.

use std::{
    fs,
    io::{self, ErrorKind},
    os::unix::fs::MetadataExt,
    path::Path,
};

use rand::Rng;

use crate::{
    journal::{self, Change, PREFIX},
    names,
};

/// The part of a write that is on disk as a whole or not at all.
const SECTOR_BYTES: usize = 512;

/// What remains of the changes that were not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// All of them are gone.
    None,
    /// Each is there, gone or torn.
    Some,
    /// All of them are there.
    All,
}

/// Undoes changes of the process with this side folder, which must have ended; returns how many it
/// looked at.
///
/// # Errors
/// A system call fails.
pub fn restore(side: &Path, choice: Choice, rng: &mut impl Rng) -> io::Result<usize> {
    if !side.exists() {
        return Ok(0);
    }
    let mut count = 0;
    for file in fs::read_dir(side)? {
        let file = file?;
        let name = file.file_name();
        let Some(number) = name.to_str().and_then(|name| name.strip_prefix(PREFIX)) else {
            continue;
        };
        if let Some((path, changes)) = journal::read(&file.path())? {
            let is_same = |found: fs::Metadata| found.ino().to_string() == number;
            // Another file may have taken the name.
            if fs::metadata(&path).is_ok_and(is_same) {
                count += changes.len();
                restore_file(&path, &changes, choice, rng)?;
            }
        }
        fs::remove_file(file.path())?;
    }
    let changes = names::read(side)?;
    count += changes.len();
    for change in changes.iter().rev() {
        if !is_kept(choice, rng) {
            change.undo()?;
        }
    }
    names::clear(side)?;
    Ok(count)
}

fn is_kept(choice: Choice, rng: &mut impl Rng) -> bool {
    match choice {
        Choice::None => false,
        Choice::Some => rng.random_bool(0.5),
        Choice::All => true,
    }
}

fn restore_file(
    path: &Path,
    changes: &[Change],
    choice: Choice,
    rng: &mut impl Rng,
) -> io::Result<()> {
    if changes.is_empty() || choice == Choice::All {
        return Ok(());
    }
    if changes.first() == Some(&Change::Create) && !is_kept(choice, rng) {
        return match fs::remove_file(path) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            Ok(()) | Err(_) => Ok(()),
        };
    }
    let mut bytes = fs::read(path)?;
    let written = undo_all(&mut bytes, changes)?;
    if choice == Choice::Some {
        for (change, new) in changes.iter().zip(written.iter().rev()) {
            redo(&mut bytes, change, new, rng)?;
        }
    }
    // In place, so that the file keeps its number.
    fs::write(path, bytes)
}

/// Takes all changes back, the last one first; returns what each had written, in that order.
fn undo_all(bytes: &mut Vec<u8>, changes: &[Change]) -> io::Result<Vec<Vec<u8>>> {
    let mut written = Vec::new();
    for change in changes.iter().rev() {
        let new = match change {
            Change::Create => Vec::new(),
            Change::Write {
                offset,
                count,
                length,
                replaced,
            } => {
                let start = size(*offset)?.min(bytes.len());
                let end = size(offset + count)?.min(bytes.len());
                let new = bytes[start..end].to_vec();
                bytes.resize(size(*length)?, 0);
                put(bytes, size(*offset)?, replaced);
                new
            }
            Change::Resize {
                to,
                length,
                replaced,
            } => {
                bytes.resize(size(*length)?, 0);
                put(bytes, size(*to)?, replaced);
                Vec::new()
            }
        };
        written.push(new);
    }
    Ok(written)
}

/// Makes a change again: all of it, nothing or a part.
fn redo(bytes: &mut Vec<u8>, change: &Change, new: &[u8], rng: &mut impl Rng) -> io::Result<()> {
    match change {
        Change::Create => {}
        Change::Write { offset, .. } => {
            let offset = size(*offset)?;
            match rng.random_range(0..4) {
                0 => {}
                1 => put(bytes, offset, new),
                // The first part only.
                2 => {
                    let kept = rng.random_range(0..=new.len());
                    put(bytes, offset, &new[..kept]);
                }
                _ => {
                    for (number, sector) in new.chunks(SECTOR_BYTES).enumerate() {
                        if rng.random_bool(0.5) {
                            put(bytes, offset + number * SECTOR_BYTES, sector);
                        }
                    }
                }
            }
        }
        Change::Resize { to, .. } => {
            if rng.random_bool(0.5) {
                bytes.resize(size(*to)?, 0);
            }
        }
    }
    Ok(())
}

fn put(bytes: &mut Vec<u8>, offset: usize, new: &[u8]) {
    let end = offset + new.len();
    if new.is_empty() {
        return;
    }
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset..end].copy_from_slice(new);
}

fn size(bytes: u64) -> io::Result<usize> {
    usize::try_from(bytes).map_err(io::Error::other)
}
