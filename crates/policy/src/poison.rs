//! Lookup table of requests that are suspected to crash targets.

use std::collections::HashMap;

use clem_types::{BodyHash, CustomerId};

/// Suspicion against a request that was in flight when a target crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It may have caused the crash; a target runs at most one suspect at a time.
    Suspect,
    /// It causes crashes and is refused.
    Poison,
}

/// Suspicions by customer and body hash, so that a known body is recognised under a new request id.
#[derive(Debug, Default)]
pub struct PoisonTable {
    entries: HashMap<(Option<CustomerId>, BodyHash), Suspicion>,
}

impl PoisonTable {
    /// Replaces all entries.
    pub fn replace(
        &mut self,
        entries: impl Iterator<Item = (Option<CustomerId>, BodyHash, Suspicion)>,
    ) {
        self.entries.clear();
        for (customer, body, suspicion) in entries {
            self.entries.insert((customer, body), suspicion);
        }
    }

    /// Returns the suspicion against a customer's request with this body, if any.
    pub fn find(&self, customer: Option<&CustomerId>, body: BodyHash) -> Option<Suspicion> {
        if self.entries.is_empty() {
            return None;
        }
        self.entries.get(&(customer.cloned(), body)).copied()
    }
}
