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
pub struct BatchGroup {
    /// The first members; empty before the group is founded.
    pub founders: Vec<SocketAddr>,
    /// The vms that are being emptied.
    pub retiring: Vec<String>,
}

/// A change of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchGroupChange {
    /// Founds the group, unless it is founded.
    Found(Vec<SocketAddr>),
    /// A vm is to be emptied.
    Retire(String),
}

pub(crate) fn change(store: &mut dyn Store, change: &BatchGroupChange) -> Result<()> {
    let mut batch_group = read(store)?;
    match change {
        BatchGroupChange::Found(founders) => {
            if !batch_group.founders.is_empty() {
                return Ok(());
            }
            batch_group.founders.clone_from(founders);
        }
        BatchGroupChange::Retire(vm) => {
            if batch_group.retiring.contains(vm) {
                return Ok(());
            }
            batch_group.retiring.push(vm.clone());
        }
    }
    table::put(store, &key(), &batch_group)
}

/// What the hub remembers of the group that keeps batches.
pub fn read(store: &dyn Store) -> Result<BatchGroup> {
    Ok(table::get(store, &key())?.unwrap_or_default())
}

fn key() -> Key {
    Key::new("depot")
}
