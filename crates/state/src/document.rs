//! The whole set of rules of the direct path: the highest version holds.

use bytes::Bytes;
use clem_store::Store;
use clem_types::RulesVersion;
use clem_wire::fleet::RulesDocument;

use crate::{
    Result,
    table::{self, Key},
};

/// Keeps the document if its version is higher than the kept one's, and says which is kept then.
///
/// A lower or equal version changes nothing: an old call that arrives late must not undo a newer
/// one.
pub(crate) fn put(store: &mut dyn Store, rules: &RulesDocument) -> Result<RulesVersion> {
    let kept = version(store)?;
    if rules.version <= kept {
        return Ok(kept);
    }
    table::put(store, &version_key(), &rules.version)?;
    store.put(document_key().as_ref(), &rules.document)?;
    Ok(rules.version)
}

/// The version that is kept; 0 before the first.
pub fn version(store: &dyn Store) -> Result<RulesVersion> {
    Ok(table::get(store, &version_key())?.unwrap_or_default())
}

/// The kept document; empty before the first.
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
