//! The rules document of the direct path; the highest version wins.

use bytes::Bytes;
use clem_policy::dispatch::LowBuckets;
use clem_store::Store;
use clem_types::Version;
use clem_wire::fleet::RulesDocument;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    evacuations::{self, EvacuationChange},
    low_buckets,
    table::{self, Key},
};

/// A change of what the hub keeps: the rules document, the evacuations or the low token buckets.
///
/// The latter two have no command of their own, because a member of an earlier release exits on a command
/// that it doesn't know. To it, this is a document of version 0, which it skips.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    version: Version,
    document: Bytes,
    /// The change of the evacuations, of which the document is empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuation: Option<EvacuationChange>,
    /// The customers whose token buckets are low, of which the document is empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub low_buckets: Option<LowBuckets>,
}

impl DocumentChange {
    /// Whether it stores a document.
    pub(crate) fn is_document(&self) -> bool {
        self.evacuation.is_none() && self.low_buckets.is_none()
    }
}

impl From<RulesDocument> for DocumentChange {
    fn from(rules: RulesDocument) -> Self {
        Self {
            version: rules.version,
            document: rules.document,
            ..Self::default()
        }
    }
}

impl From<EvacuationChange> for DocumentChange {
    fn from(change: EvacuationChange) -> Self {
        Self {
            evacuation: Some(change),
            ..Self::default()
        }
    }
}

impl From<LowBuckets> for DocumentChange {
    fn from(low: LowBuckets) -> Self {
        Self {
            low_buckets: Some(low),
            ..Self::default()
        }
    }
}

/// Stores the document if its version is higher than the stored one, and returns the version that
/// is stored afterwards.
///
/// A lower or equal version is ignored, so that a delayed old call can't undo a newer one.
pub(crate) fn put(store: &mut dyn Store, rules: &DocumentChange) -> Result<Version> {
    let kept = version(store)?;
    if let Some(change) = &rules.evacuation {
        evacuations::change(store, change)?;
        return Ok(kept);
    }
    if let Some(low) = &rules.low_buckets {
        low_buckets::put(store, low)?;
        return Ok(kept);
    }
    if rules.version <= kept {
        return Ok(kept);
    }
    table::put(store, &version_key(), &rules.version)?;
    store.put(document_key().as_ref(), &rules.document)?;
    Ok(rules.version)
}

/// The version of the stored document; 0 if there is none.
pub fn version(store: &dyn Store) -> Result<Version> {
    Ok(table::get(store, &version_key())?.unwrap_or_default())
}

/// The stored document; empty with version 0 if there is none.
pub fn document(store: &dyn Store) -> Result<RulesDocument> {
    let document = store.get(document_key().as_ref())?;
    Ok(RulesDocument {
        version: version(store)?,
        document: document.unwrap_or_else(Bytes::new),
    })
}

fn version_key() -> Key {
    Key::new("document-version")
}

fn document_key() -> Key {
    Key::new("document")
}
