//! The data centres whose targets must get no requests, as operators ordered.

use std::collections::BTreeSet;

use clem_store::Store;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key},
};

/// Maximum number of data centres that are evacuated at once, so that the record stays short.
pub const EVACUATED_MAX: usize = 256;

/// The hub's record of the evacuated data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Names of the data centres.
    pub data_centres: BTreeSet<String>,
}

/// A change of the record; repeating one changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationChange {
    /// Evacuates a data centre.
    Start(String),
    /// Ends the evacuation of a data centre.
    End(String),
}

impl EvacuationChange {
    /// The data centre that the change is about.
    pub fn data_centre(&self) -> &str {
        match self {
            Self::Start(name) | Self::End(name) => name,
        }
    }
}

impl Evacuations {
    /// Whether a change has no effect on the record.
    pub fn includes(&self, change: &EvacuationChange) -> bool {
        match change {
            EvacuationChange::Start(name) => self.data_centres.contains(name),
            EvacuationChange::End(name) => !self.data_centres.contains(name),
        }
    }
}

/// Applies a change, unless the record is full.
pub(crate) fn change(store: &mut dyn Store, change: &EvacuationChange) -> Result<()> {
    let mut record = read(store)?;
    if record.includes(change) {
        return Ok(());
    }
    match change {
        EvacuationChange::Start(name) => {
            if record.data_centres.len() >= EVACUATED_MAX {
                return Ok(());
            }
            record.data_centres.insert(name.clone());
        }
        EvacuationChange::End(name) => {
            record.data_centres.remove(name);
        }
    }
    table::put(store, &key(), &record)
}

/// The record; empty if no data centre was ever evacuated.
pub fn read(store: &dyn Store) -> Result<Evacuations> {
    Ok(table::get(store, &key())?.unwrap_or_default())
}

fn key() -> Key {
    Key::new("evacuations")
}
