//! The identity of a data folder.

use std::{
    fs::{self, File},
    io::{ErrorKind, Write},
    path::Path,
};

use clem_power::Journal;
use serde::{Deserialize, Serialize};

use super::{DiskError, Result};
use crate::{ClusterId, MemberId};

/// The name of the file with the identity.
const FILE: &str = "identity";
/// The name of the temporary file that replaces [`FILE`] by an atomic rename.
const DRAFT: &str = "identity.draft";

/// The member and cluster of a data folder; the member is fixed when the folder is created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member; a process that lost its folder restarts as a different member.
    pub member: MemberId,
    /// The cluster; `None` until the member has founded or joined one.
    pub cluster: Option<ClusterId>,
}

/// The content of the file.
#[derive(Debug, Serialize, Deserialize)]
struct Checksummed {
    identity: Identity,
    /// The CRC-32 of the encoded identity.
    sum: u32,
}

/// Reads the identity of `folder`, or returns `None` for a new folder.
///
/// # Errors
/// The file can't be read, or is damaged.
pub fn read(folder: &Path) -> Result<Option<Identity>> {
    let path = folder.join(FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(DiskError::io("read", &path)(error)),
    };
    let damaged = || {
        DiskError::damaged(
            &path,
            0,
            "the identity can't be decoded or its checksum is wrong",
        )
    };
    let stored: Checksummed = rmp_serde::from_slice(&bytes).map_err(|_| damaged())?;
    if sum(&stored.identity) != stored.sum {
        return Err(damaged());
    }
    Ok(Some(stored.identity))
}

/// Atomically replaces the identity of `folder` and syncs it.
pub(super) fn write(folder: &Path, identity: Identity) -> Result<()> {
    let draft = folder.join(DRAFT);
    let path = folder.join(FILE);
    let stored = Checksummed {
        identity,
        sum: sum(&identity),
    };
    let bytes = rmp_serde::to_vec(&stored).unwrap_or_default();
    let mut file = File::options()
        .create(true)
        .truncate(true)
        .read(true)
        .write(true)
        .open(&draft)
        .map_err(DiskError::io("create", &draft))?;
    let journal = Journal::open(&draft, &file, true).map_err(DiskError::io("journal", &draft))?;
    journal
        .write(0, bytes.len(), || file.write_all(&bytes))
        .map_err(DiskError::io("write", &draft))?;
    journal
        .sync(|| file.sync_all())
        .map_err(DiskError::io("sync", &draft))?;
    clem_power::rename(&draft, &path).map_err(DiskError::io("replace", &path))?;
    sync_folder(folder)
}

/// Syncs a folder, which makes the creation, renaming and removal of its files durable.
pub(super) fn sync_folder(folder: &Path) -> Result<()> {
    let file = File::open(folder).map_err(DiskError::io("open", folder))?;
    clem_power::sync_folder(|| file.sync_all()).map_err(DiskError::io("sync", folder))
}

fn sum(identity: &Identity) -> u32 {
    crc32fast::hash(&rmp_serde::to_vec(identity).unwrap_or_default())
}
