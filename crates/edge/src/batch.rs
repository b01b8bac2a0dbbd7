//! Batches as callers submit and read them.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A batch submitted by a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// The caller's id of the batch.
    pub id: String,
    /// The items; their order defines their indices.
    pub items: Vec<ItemSpec>,
}

/// An item of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The caller's id of the item.
    pub id: String,
    /// The path that the body is posted to.
    pub path: String,
    /// Headers to send with the request.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: Bytes,
    /// Prompt tokens plus maximum output tokens; counted against the customer's token cap.
    pub tokens: u64,
}

/// The final state of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemStatus {
    /// The output is complete.
    Completed,
    /// The item failed for good.
    Errored,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The caller's id of the item.
    pub id: String,
    /// The final state of the item.
    pub state: ItemStatus,
    /// The data of the output events, joined with line feeds; empty unless the item completed.
    pub text: String,
}

/// A page of a batch's results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultsPage {
    /// Number of items in the batch.
    pub total: u64,
    /// Index that the next page starts from.
    pub next: u64,
    /// The results in the order in which the items ended.
    pub results: Vec<ItemResult>,
}

impl fmt::Display for ItemStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::Errored => "errored",
        })
    }
}
