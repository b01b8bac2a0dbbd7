//! Requests of callers and operators.

use std::time::Duration;

use bytes::Bytes;

/// What a request's head says, besides method, path and the headers that are passed on.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// The caller's id of this attempt.
    pub id: Option<String>,
    /// The host that it names.
    pub host: String,
    /// The key that it shows.
    pub key: Option<Bytes>,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// Prompt tokens.
    pub prompt: u32,
    /// The most tokens of the answer.
    pub output: u32,
    /// The prompt's parts, shared ones first.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has seen of a broken stream.
    pub seen: Option<u64>,
}

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id; the same id means the same tokens.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a caller's request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Inbound {
    /// An answer of a target; or a batch to take in, where the route is for batches.
    Forward,
    /// Results of a batch.
    Results {
        /// The caller's id of the batch.
        batch: String,
        /// The position of the first result that is wanted.
        after: u64,
        /// How long the answer may be held until there is a result.
        wait: Duration,
    },
    /// The body of an item that has no result yet.
    ItemBody {
        /// The caller's id of the batch.
        batch: String,
        /// The caller's id of the item.
        item: String,
    },
    /// The end of a batch.
    EndBatch {
        /// The caller's id of the batch.
        batch: String,
    },
}

/// A call of the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCall {
    /// Puts a whole set of rules in force; the body holds it.
    PutRules,
    /// Reads the newest rules back.
    GetRules,
    /// Empties a vm that keeps batches.
    StartRetire {
        /// The vm's name.
        vm: String,
    },
    /// How far the emptying of a vm is.
    GetRetire {
        /// The vm's name.
        vm: String,
    },
}
