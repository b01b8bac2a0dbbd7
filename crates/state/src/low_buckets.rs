//! The customers whose token buckets are low, for the next leader of the hub.

use clem_policy::dispatch::LowBuckets;
use clem_store::Store;

use crate::{
    Result,
    table::{self, Key},
};

pub(crate) fn put(store: &mut dyn Store, low: &LowBuckets) -> Result<()> {
    table::put(store, &key(), low)
}

/// The record; `None` if no leader has written one.
pub fn read(store: &dyn Store) -> Result<Option<LowBuckets>> {
    table::get(store, &key())
}

fn key() -> Key {
    Key::new("low-buckets")
}
