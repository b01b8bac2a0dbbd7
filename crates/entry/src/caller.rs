//! Who sent a request.

use std::sync::Arc;

use clem_types::{CustomerId, Key, KeyId, RequestId, Time};

/// The caller of one request, as far as it has shown who it is.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The request, by a number drawn here.
    pub(crate) request: RequestId,
    /// When it came.
    pub(crate) came: Time,
    /// Whose key came with it; none without a key.
    pub(crate) identity: Option<Identity>,
    /// The key in the clear, only to find and drop it wherever else it stands in the request.
    pub(crate) key: Option<Arc<Key>>,
}

/// A key's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) customer: CustomerId,
    pub(crate) key: KeyId,
}

impl Caller {
    pub(crate) fn customer(&self) -> Option<&CustomerId> {
        self.identity.as_ref().map(|identity| &identity.customer)
    }

    /// The key in the clear, for stripping.
    pub(crate) fn reveal(&self) -> Option<&str> {
        self.key.as_deref().map(Key::reveal)
    }
}
