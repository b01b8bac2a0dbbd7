//! The target list on its way to processes: whole to those that have none, then only its changes.

use std::collections::BTreeMap;

use bytes::Bytes;
use clem_edge::TargetVm;
use serde::{Deserialize, Serialize};

use crate::{codec, pack};

/// Maximum size of a whole list, in bytes.
const LIST_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The result of reading a list that was received; the error says what is wrong with it.
pub type Result<T> = std::result::Result<T, String>;

/// Identifies the content of a target list, whatever leader it came from. It is kept up to date with
/// each entry that is added or removed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetsDigest(u64);

impl TargetsDigest {
    /// The digest of a list whose entries have different ids.
    pub fn of<'a>(targets: impl IntoIterator<Item = &'a TargetVm>) -> Self {
        let mut digest = Self::default();
        for target in targets {
            digest.add(target);
        }
        digest
    }

    /// Counts an entry that was added.
    pub fn add(&mut self, target: &TargetVm) {
        self.0 = self.0.wrapping_add(hash(target));
    }

    /// Counts an entry that was removed.
    pub fn remove(&mut self, target: &TargetVm) {
        self.0 = self.0.wrapping_sub(hash(target));
    }
}

fn hash(target: &TargetVm) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for text in [&target.id, &target.service, &target.data_centre] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    let version = target.version.as_ref().map(ToString::to_string);
    let rest = format!(
        "{} {} {:?} {} {:?}",
        target.address, target.slots, target.state, target.started, version
    );
    hasher.update(rest.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Brings the target list of a process up to date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetUpdate {
    /// The whole list.
    Whole(PackedTargets),
    /// What has changed in the list that the process reported.
    Changes(TargetChanges),
}

/// A whole target list, packed once for all processes that it is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedTargets {
    /// The digest of the list.
    pub digest: TargetsDigest,
    /// The encoded list in the form of [`pack`].
    packed: Bytes,
}

impl PackedTargets {
    /// Packs a list.
    ///
    /// # Errors
    /// It can't be encoded or compressed.
    pub fn new(digest: TargetsDigest, targets: &[&TargetVm]) -> Result<Self> {
        let encoded = codec::encode(&targets).map_err(|error| error.to_string())?;
        let packed = pack::pack(&encoded).map_err(|error| error.to_string())?;
        Ok(Self { digest, packed })
    }

    /// The list.
    ///
    /// # Errors
    /// The bytes are damaged or too many.
    pub fn targets(&self) -> Result<Vec<TargetVm>> {
        let encoded = pack::unpack(&self.packed, LIST_BYTES_MAX);
        let encoded = encoded.map_err(|error| error.to_string())?;
        codec::decode(&encoded).map_err(|error| error.to_string())
    }

    /// Size on the wire, in bytes.
    pub fn bytes(&self) -> usize {
        self.packed.len()
    }
}

/// Changes of a target list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChanges {
    /// The digest of the list after the changes.
    pub digest: TargetsDigest,
    /// Targets that are new or have changed.
    pub changed: Vec<TargetVm>,
    /// The ids of targets that are gone.
    pub removed: Vec<String>,
}

impl TargetChanges {
    /// Applies the changes to a list and its digest; returns whether the list is now the sender's.
    pub fn apply(
        self,
        targets: &mut BTreeMap<String, TargetVm>,
        digest: &mut TargetsDigest,
    ) -> bool {
        for id in &self.removed {
            if let Some(former) = targets.remove(id) {
                digest.remove(&former);
            }
        }
        for target in self.changed {
            digest.add(&target);
            if let Some(former) = targets.insert(target.id.clone(), target) {
                digest.remove(&former);
            }
        }
        *digest == self.digest
    }
}
