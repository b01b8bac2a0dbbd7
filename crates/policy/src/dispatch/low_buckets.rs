//! Customers whose token buckets are low, kept across changes of leader.
//!
//! A leader that has just been elected doesn't know the buckets' levels. After the loss of all processes
//! all callers come back at once, and a leader that assumed empty buckets would refuse most of them although
//! their customers have spent little. So the leader keeps, in the replicated state, which customers' buckets
//! are below half; the others have at least that much left, whatever happens to the leader.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::RateLimit;

/// A bucket below this part of its burst is low. A later leader starts the others with as much.
pub const LOW_LEVEL: f64 = 0.5;
/// A low bucket stays so until it has filled up to this part, so that few changes are recorded.
const REFILLED_LEVEL: f64 = 0.8;
/// Smallest burst that is worth a record, in requests.
const BURST_MIN: f64 = 8.0;
/// Maximum number of customers in the record; beyond it all count as low.
const CUSTOMERS_MAX: usize = 1024;

/// The customers whose buckets are low.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LowBuckets {
    /// Whether there are too many to be named.
    pub all: bool,
    /// Their names.
    pub customers: BTreeSet<String>,
}

impl LowBuckets {
    /// Takes the buckets' levels into account, each as a part of its burst.
    #[must_use]
    pub fn updated(&self, levels: &BTreeMap<String, f64>) -> Self {
        let mut customers = BTreeSet::new();
        for (name, level) in levels {
            let was_low = self.all || self.customers.contains(name);
            let bound = if was_low { REFILLED_LEVEL } else { LOW_LEVEL };
            if *level < bound {
                customers.insert(name.clone());
            }
        }
        if customers.len() > CUSTOMERS_MAX {
            return Self {
                all: true,
                customers: BTreeSet::new(),
            };
        }
        Self {
            all: false,
            customers,
        }
    }

    /// Tokens that a customer's bucket has at least, whoever leads.
    pub fn least_tokens(&self, customer: &str, limit: RateLimit) -> f64 {
        if !Self::covers(limit) || self.all || self.customers.contains(customer) {
            return 0.0;
        }
        limit.burst * LOW_LEVEL
    }

    /// Whether a customer's bucket is large enough to be recorded.
    pub fn covers(limit: RateLimit) -> bool {
        limit.rate > 0.0 && limit.burst >= BURST_MIN
    }
}
