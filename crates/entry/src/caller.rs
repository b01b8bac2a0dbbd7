//! The sender of a request.

use std::sync::Arc;

use clem_types::{CustomerId, Key, KeyId, RequestId, Time};

/// The caller of one request, and its identity if it sent a key.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// Random id of the request, drawn by the entry.
    pub(crate) request: RequestId,
    /// Time of arrival.
    pub(crate) arrived: Time,
    /// The owner of the key; `None` without a key, or while no rules are loaded.
    pub(crate) identity: Option<Identity>,
    /// The key in plain text, used only to remove it from the rest of the request.
    pub(crate) key: Option<Arc<Key>>,
}

/// The customer and the id of an authenticated key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) customer: CustomerId,
    pub(crate) key: KeyId,
}

impl Caller {
    pub(crate) fn customer(&self) -> Option<&CustomerId> {
        self.identity.as_ref().map(|identity| &identity.customer)
    }

    /// The key in plain text, for stripping.
    pub(crate) fn reveal(&self) -> Option<&str> {
        self.key.as_deref().map(Key::reveal)
    }
}
