//! Who a data folder is.

use std::{
    fs::{self, File},
    io::{ErrorKind, Write},
    path::Path,
};

use serde::{Deserialize, Serialize};

use super::{DiskError, Result};
use crate::{ClusterId, MemberId};

/// The file that holds the identity.
const FILE: &str = "identity";
/// The file that the next identity is written to before it takes the former one's place.
const DRAFT: &str = "identity.draft";

/// Who a data folder is; drawn when the folder is new and never changed but for the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member; a process whose folder was lost is another member.
    pub member: MemberId,
    /// The cluster that the folder belongs to; none before it has founded or joined one.
    pub cluster: Option<ClusterId>,
}

/// What the file holds: the identity and its checksum.
#[derive(Debug, Serialize, Deserialize)]
struct Sealed {
    identity: Identity,
    sum: u32,
}

/// Reads the identity of `folder`; none when the folder is new.
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
    let damaged = || DiskError::damaged(&path, 0, "it is not an identity");
    let sealed: Sealed = rmp_serde::from_slice(&bytes).map_err(|_| damaged())?;
    if sum(&sealed.identity) != sealed.sum {
        return Err(damaged());
    }
    Ok(Some(sealed.identity))
}

/// Writes and syncs the identity of `folder`, all of it or nothing.
pub(super) fn write(folder: &Path, identity: Identity) -> Result<()> {
    let draft = folder.join(DRAFT);
    let path = folder.join(FILE);
    let sealed = Sealed {
        identity,
        sum: sum(&identity),
    };
    let bytes = rmp_serde::to_vec(&sealed).unwrap_or_default();
    let mut file = File::create(&draft).map_err(DiskError::io("create", &draft))?;
    file.write_all(&bytes)
        .map_err(DiskError::io("write", &draft))?;
    file.sync_all().map_err(DiskError::io("sync", &draft))?;
    fs::rename(&draft, &path).map_err(DiskError::io("replace", &path))?;
    sync_folder(folder)
}

/// Syncs a folder, so that files made, renamed or removed in it stay so.
pub(super) fn sync_folder(folder: &Path) -> Result<()> {
    let file = File::open(folder).map_err(DiskError::io("open", folder))?;
    file.sync_all().map_err(DiskError::io("sync", folder))
}

fn sum(identity: &Identity) -> u32 {
    crc32fast::hash(&rmp_serde::to_vec(identity).unwrap_or_default())
}
