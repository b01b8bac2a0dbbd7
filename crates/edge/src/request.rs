//! Requests of callers and operators.

use std::time::Duration;

use bytes::Bytes;
use clem_types::PartId;

/// Metadata from a caller's request headers, apart from method, path and forwarded headers.
#[derive(Debug, Clone, Default)]
pub struct RequestInfo {
    /// The caller's request id.
    pub id: Option<String>,
    /// The requested host, without a port.
    pub host: String,
    /// The API key.
    pub key: Option<Bytes>,
    /// How long the caller will wait; `None` if the request sets no deadline.
    pub timeout: Option<Duration>,
    /// Number of prompt tokens; 0 if the caller doesn't say.
    pub prompt: u32,
    /// Maximum number of output tokens; 0 if the caller doesn't say.
    pub output: u32,
    /// The segments of the prompt, shared prefixes first.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The caller's id of the attempt that brought the first event, when it resumes a stream.
    pub resumes: Option<String>,
}

/// A segment of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Segments with the same id have the same tokens.
    pub id: String,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a request has in common with others, by which requests that crash targets are recognised: the
/// segments of its prompt but the last, which belongs to the request or its session, and the whole of
/// it, `fields`, as callers send it again.
pub fn common_parts(prompt: &[PromptPart], fields: &[&[u8]]) -> Vec<PartId> {
    let mut parts = vec![PartId::of_whole(fields)];
    if let Some((_, shared)) = prompt.split_last() {
        parts.extend(shared.iter().map(|part| PartId::of(&[part.id.as_bytes()])));
    }
    parts
}

/// The operation that a caller's request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Forward the request to a target, or accept it as a batch on a batch route.
    Forward,
    /// Read results of a batch.
    Results {
        /// The caller's id of the batch.
        batch: String,
        /// Index of the first result to return.
        after: u64,
        /// How long the response may be held until there is a result.
        wait: Duration,
    },
    /// Read the request body of an item.
    ItemBody {
        /// The caller's id of the batch.
        batch: String,
        /// The caller's id of the item.
        item: String,
    },
    /// Delete a batch.
    EndBatch {
        /// The caller's id of the batch.
        batch: String,
    },
}

/// An operator's call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replace the rules with the ruleset in the body.
    PutRules,
    /// Read the newest rules.
    GetRules,
    /// Start to retire a vm that stores batches.
    StartRetire {
        /// The vm's name.
        vm: String,
    },
    /// Send no more requests to the targets of a data centre.
    StartEvacuation {
        /// The data centre's name.
        data_centre: String,
    },
    /// Send requests to the targets of a data centre again.
    EndEvacuation {
        /// The data centre's name.
        data_centre: String,
    },
    /// Read the progress of retiring a vm.
    GetRetire {
        /// The vm's name.
        vm: String,
    },
}
