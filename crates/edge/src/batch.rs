//! Batches, as callers submit and read them.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A batch that a caller submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// The caller's id of the batch.
    pub id: String,
    /// Its items.
    pub items: Vec<ItemSpec>,
}

/// An item of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The caller's id of the item.
    pub id: String,
    /// The path that it is posted to.
    pub path: String,
    /// Headers that go with it.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Bytes,
    /// Tokens of its prompt and its longest answer together.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemStatus {
    /// Its whole output is there.
    Completed,
    /// It was given up.
    Errored,
}

/// An item's result at its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedItem {
    /// The caller's id of the item.
    pub id: String,
    /// How it ended.
    pub state: ItemStatus,
    /// The data of its events, separated by line feeds.
    pub text: String,
}

/// A page of a batch's results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultsPage {
    /// How many items the batch has.
    pub total: u64,
    /// The position after the page.
    pub next: u64,
    /// The results, in the order of their positions.
    pub results: Vec<ListedItem>,
}

impl fmt::Display for ItemStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::Errored => "errored",
        })
    }
}
