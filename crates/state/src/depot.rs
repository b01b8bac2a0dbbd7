//! Where the group that keeps batches was founded, and which of its vms are being emptied.

use std::net::SocketAddr;

use clem_store::Store;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key},
};

/// What the hub remembers of the group that keeps batches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Depot {
    /// The first members; empty before the group is founded.
    pub founders: Vec<SocketAddr>,
    /// The vms that are being emptied.
    pub retiring: Vec<String>,
}

/// A change of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepotChange {
    /// Founds the group, unless it is founded.
    Found(Vec<SocketAddr>),
    /// A vm is to be emptied.
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

/// What the hub remembers of the group that keeps batches.
pub fn read(store: &dyn Store) -> Result<Depot> {
    Ok(table::get(store, &key())?.unwrap_or_default())
}

fn key() -> Key {
    Key::new("depot")
}
