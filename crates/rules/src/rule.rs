//! The typed contents of each kind of rule.

use std::{net::SocketAddr, time::Duration};

use clem_types::{
    AdapterId, CustomerId, DataCentre, KeyHash, ModelId, ModelVersion, Rate, ServiceId,
};
use serde::{Deserialize, Serialize};

/// One validated rule, without its name and comment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Rule {
    /// A customer with its rate limit and scheduling weight.
    Customer(Customer),
    /// The API key of a customer.
    Key(Key),
    /// A model that may be placed on engines, with its adapters.
    Model(Model),
    /// The number of replicas of a model version in a data centre.
    #[serde(rename = "Place")]
    Placement(Placement),
    /// A name that callers send requests to, with the back end that serves it.
    Route(Route),
    /// A model engine or service replica.
    Target(Target),
}

/// A customer: `customer.ID = { rate = "20/s", burst = 40, weight = 1 }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// The rate limit, across all entries together.
    pub rate: Rate,
    /// The number of requests that may exceed the rate at once (the token bucket's capacity).
    pub burst: u32,
    /// The weight in fair sharing of a busy target among customers.
    pub weight: u32,
    /// Whether batch items count against the rate: `batch = "free"` or `batch = "rate"`.
    pub batch: BatchCharge,
}

/// Whether a customer's batch items count against its rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchCharge {
    /// Batch items are limited by fair sharing only.
    #[default]
    Free,
    /// Each batch item counts as one request when it is leased.
    Rate,
}

/// A key: `key.ID = { customer = "totara", blake3 = "…" }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// The customer that requests with this key are attributed to.
    pub customer: CustomerId,
    /// The BLAKE3 hash of the key. The key itself is not stored.
    pub hash: KeyHash,
}

/// A route: `route.ID = { model = "assistant-7b", version = 3, open = false }` or
/// `route.ID = { service = "waitlist", idempotent = false }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The back end that serves requests on this route.
    pub backend: Backend,
    /// Whether requests without a key are allowed.
    pub open: bool,
    /// Whether a request may be retried after it may already have run.
    pub idempotent: bool,
    /// The total time that a request may take, including retries.
    pub timeout: Duration,
}

/// The back end of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Backend {
    /// Replicas of a model.
    Model {
        /// The model's id.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
        /// The adapter applied to the model, if any.
        adapter: Option<AdapterId>,
    },
    /// Replicas of a service that is not a model engine.
    Service(ServiceId),
}

/// A target: `target.ID = { address = "127.0.0.1:7001", data_centre = "tamaki-a",
/// checks_fence = false }`, with `service = "waitlist"` for a service that is not a
/// model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The address at which the target's agent connects to it.
    pub address: SocketAddr,
    /// The data centre that the target runs in.
    pub data_centre: DataCentre,
    /// Whether the target itself rejects orders with a stale fence number.
    pub checks_fence: bool,
    /// The service that the target runs; `None` for a model engine.
    pub service: Option<ServiceId>,
}

/// A model: `model.ID = { bytes = 14_000_000_000, adapters = ["letters"] }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The size of the weights, in bytes.
    pub bytes: u64,
    /// The adapters that may be loaded for the model.
    pub adapters: Vec<AdapterId>,
}

/// A placement: `place.ID = { model = "assistant-7b", version = 3, data_centre = "tamaki-a",
/// replicas = 3 }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The model to load.
    pub model: ModelId,
    /// The version of its weights.
    pub version: ModelVersion,
    /// The data centre of the replicas.
    pub data_centre: DataCentre,
    /// The number of replicas to keep loaded.
    pub replicas: u32,
}
