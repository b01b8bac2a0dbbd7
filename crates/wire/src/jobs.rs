//! What entries ask of the leader of the group that keeps batches.

use std::time::Duration;

use bytes::Bytes;
use clem_edge::{BatchSpec, ResultsPage};
use serde::{Deserialize, Serialize};

use crate::Call;

/// Takes in a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitJob {
    /// The customer that it belongs to.
    pub customer: String,
    /// The batch.
    pub spec: BatchSpec,
    /// How it is to be run.
    #[serde(rename = "terms")]
    pub options: JobOptions,
}

/// How a batch's items are run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOptions {
    /// The name of the route.
    pub route: String,
    /// The host that its items name.
    pub host: String,
    /// The service that runs them.
    pub service: String,
    /// The rank of its items.
    pub rank: u8,
    /// How long after the submission all results are due.
    pub due: Duration,
    /// How long after the submission items are kept trying.
    pub keep: Duration,
    /// The runs of an item that may fail.
    pub attempts: u32,
    /// The most tokens of the customer's unfinished items on the route; 0 for no bound.
    pub token_cap: u64,
}

impl Call for SubmitJob {
    const PATH: &'static str = "/internal/jobs/submit";
    type Reply = SubmitReply;
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// It is durable.
    Accepted,
    /// The customer has too much unfinished; nothing was kept.
    Full,
    /// The disk has no room; nothing was kept.
    NoRoom,
}

/// Which batch a call means.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobName {
    /// The customer that it belongs to.
    pub customer: String,
    /// The caller's id.
    pub id: String,
}

/// Reads results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResults {
    /// The batch.
    pub job: JobName,
    /// The first position.
    pub after: u64,
    /// How long the answer may be held until there is a result.
    pub wait_ms: u32,
}

impl Call for ReadResults {
    const PATH: &'static str = "/internal/jobs/results";
    const MAX_HOLD: Duration = Duration::from_millis(1000);
    type Reply = Option<ResultsPage>;
}

/// Reads the body of an item without a result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadItem {
    /// The batch.
    pub job: JobName,
    /// The caller's id of the item.
    pub item: String,
}

impl Call for ReadItem {
    const PATH: &'static str = "/internal/jobs/item";
    type Reply = Option<Bytes>;
}

/// Ends a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndJob {
    /// The batch.
    pub job: JobName,
}

impl Call for EndJob {
    const PATH: &'static str = "/internal/jobs/end";
    type Reply = bool;
}
