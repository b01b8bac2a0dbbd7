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
pub struct Depot {
    /// The initial members; empty until the group is founded.
    pub founders: Vec<SocketAddr>,
    /// The vms that are being decommissioned, in the order of their requests.
    pub retiring: Vec<String>,
}

/// A change of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepotChange {
    /// Sets the initial members, unless the group is already founded.
    Found(Vec<SocketAddr>),
    /// Starts to decommission a vm.
    Retire(String),
}

pub(crate) fn change(store: &mut dyn Store, change: &DepotChange) -> Result<()> {
    let mut depot = read(store)?;
    match change {
        DepotChange::Found(founders) => {
            if !depot.founders.is_empty() {
                return Ok(());
            }
            depot.founders.clone_from(founders);
        }
        DepotChange::Retire(vm) => {
            if depot.retiring.contains(vm) {
                return Ok(());
            }
            depot.retiring.push(vm.clone());
        }
    }
    table::put(store, &key(), &depot)
}

/// The record of the group; empty until the group is founded.
pub fn read(store: &dyn Store) -> Result<Depot> {
    Ok(table::get(store, &key())?.unwrap_or_default())
}

fn key() -> Key {
    Key::new("depot")
}
