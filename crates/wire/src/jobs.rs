//! Calls from fronts to the leader of the group that stores the direct path's batches ("jobs").

use std::time::Duration;

use bytes::Bytes;
use clem_edge::{BatchSpec, ResultsPage};
use clem_types::Version;
use serde::{Deserialize, Serialize};

use crate::Call;

/// Submits a batch; resubmitting an accepted one changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitJob {
    /// The customer who submitted it.
    pub customer: String,
    /// The caller's id of the batch, and its items.
    pub spec: BatchSpec,
    /// How its items are run, according to the rules.
    #[serde(rename = "terms")]
    pub options: JobOptions,
}

/// How a batch's items are run; copied from the route's rules at submission. Rules in force later may
/// move the items to another service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOptions {
    /// The name of the route.
    pub route: String,
    /// The value of the `Host` header of the items' requests.
    pub host: String,
    /// The service that runs the items by the rules of the submission.
    pub service: String,
    /// The version of these rules.
    #[serde(default)]
    pub rules: Version,
    /// The items' rank among waiting requests; 0 goes first.
    pub rank: u8,
    /// How long after the submission all results are due.
    pub due: Duration,
    /// How long after the submission unfinished items are retried.
    pub keep: Duration,
    /// Number of failed runs after which an item fails.
    pub attempts: u32,
    /// Maximum tokens of the customer's unfinished items on the route; 0 for no limit.
    pub token_cap: u64,
}

impl Call for SubmitJob {
    const PATH: &'static str = "/internal/jobs/submit";
    type Reply = SubmitReply;

    fn is_refusal(reply: &SubmitReply) -> bool {
        match reply {
            SubmitReply::Accepted => false,
            SubmitReply::Full | SubmitReply::NoRoom => true,
        }
    }
}

/// Whether a batch was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// The batch is durable on a quorum, now or since an earlier submission.
    Accepted,
    /// The customer's unfinished items would exceed the token cap; nothing was stored.
    Full,
    /// The disk has no free space; nothing was stored.
    NoRoom,
}

/// Identifies a batch by the caller's id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobName {
    /// The customer who submitted it.
    pub customer: String,
    /// The caller's id, unique per customer.
    pub id: String,
}

/// Reads results in the order in which items finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResults {
    /// The batch to read.
    pub job: JobName,
    /// Position of the first result to return.
    pub after: u64,
    /// How long the leader may hold the call until there is a result, in milliseconds.
    pub wait_ms: u32,
}

impl Call for ReadResults {
    const PATH: &'static str = "/internal/jobs/results";
    const MAX_HOLD: Duration = Duration::from_millis(1000);
    type Reply = Option<ResultsPage>;
}

/// Reads the request body of an unfinished item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadItem {
    /// The batch that the item belongs to.
    pub job: JobName,
    /// The caller's id of the item.
    pub item: String,
}

impl Call for ReadItem {
    const PATH: &'static str = "/internal/jobs/item";
    type Reply = Option<Bytes>;
}

/// Ends a batch; its remaining items are not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndJob {
    /// The batch to end; the reply is false if there is no such batch.
    pub job: JobName,
}

impl Call for EndJob {
    const PATH: &'static str = "/internal/jobs/end";
    type Reply = bool;
}
