//! Look-ups in the list of requests that crashed targets.

use std::collections::HashMap;

use clem_types::{BodyHash, CustomerId};

/// How much is known of a request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It may be the cause: it must run with no other suspect on a target.
    Suspect,
    /// It is the cause: it is refused at once.
    Poison,
}

/// The list, by customer and body: a new request id does not hide a body.
#[derive(Debug, Default)]
pub struct PoisonTable {
    entries: HashMap<(Option<CustomerId>, BodyHash), Suspicion>,
}

impl PoisonTable {
    /// Takes over a whole list.
    pub fn replace(
        &mut self,
        entries: impl Iterator<Item = (Option<CustomerId>, BodyHash, Suspicion)>,
    ) {
        self.entries.clear();
        for (customer, body, suspicion) in entries {
            self.entries.insert((customer, body), suspicion);
        }
    }

    /// What is known of a customer's body; none for almost all.
    pub fn find(&self, customer: Option<&CustomerId>, body: BodyHash) -> Option<Suspicion> {
        if self.entries.is_empty() {
            return None;
        }
        self.entries.get(&(customer.cloned(), body)).copied()
    }
}
