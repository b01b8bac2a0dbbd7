//! The group of processes that stores the direct path's batches: its founding members, and the vms
//! that are being decommissioned.

use std::net::SocketAddr;

use clem_store::Store;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key},
};

/// The hub's record of the group that stores batches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchGroup {
    /// The initial members; empty until the group is founded.
    pub founders: Vec<SocketAddr>,
    /// The vms that are being decommissioned, in the order of their requests.
    pub retiring: Vec<String>,
}

/// A change of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchGroupChange {
    /// Sets the initial members, unless the group is already founded.
    Found(Vec<SocketAddr>),
    /// Starts to decommission a vm.
    Retire(String),
}

pub(crate) fn change(store: &mut dyn Store, change: &BatchGroupChange) -> Result<()> {
    let mut group = read(store)?;
    match change {
        BatchGroupChange::Found(founders) => {
            if !group.founders.is_empty() {
                return Ok(());
            }
            group.founders.clone_from(founders);
        }
        BatchGroupChange::Retire(vm) => {
            if group.retiring.contains(vm) {
                return Ok(());
            }
            group.retiring.push(vm.clone());
        }
    }
    table::put(store, &key(), &group)
}

/// The record of the group; empty until the group is founded.
pub fn read(store: &dyn Store) -> Result<BatchGroup> {
    Ok(table::get(store, &key())?.unwrap_or_default())
}

fn key() -> Key {
    Key::new("depot")
}
