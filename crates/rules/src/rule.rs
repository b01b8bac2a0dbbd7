//! What each kind of rule says.

use std::{net::SocketAddr, time::Duration};

use clem_types::{
    AdapterId, CustomerId, DataCentre, KeyHash, ModelId, ModelVersion, Rate, ServiceId,
};
use serde::{Deserialize, Serialize};

/// One checked rule, without its name and comment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Rule {
    /// A customer with its rate, burst and weight.
    Customer(Customer),
    /// A caller's key.
    Key(Key),
    /// A model of which versions and adapters may be placed.
    Model(Model),
    /// How many replicas of a model version stand in a data centre.
    Place(Place),
    /// What a caller may ask for.
    Route(Route),
    /// A back end.
    Target(Target),
}

/// A customer: `customer.ID = { rate = "20/s", burst = 40, weight = 1 }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Requests that the customer may send, counted over all entries together.
    pub rate: Rate,
    /// Requests that may come at once on top of the rate.
    pub burst: u32,
    /// The customer's share of a busy target against other customers.
    pub weight: u32,
    /// Whether batch items draw on the rate, by `batch = "free"` or `batch = "rate"`.
    pub batch: BatchCharge,
}

/// Whether a customer's batch items draw on its rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchCharge {
    /// Batch items are bounded by fair share alone.
    #[default]
    Free,
    /// Each batch item takes one request from the rate when it is leased.
    Rate,
}

/// A key: `key.ID = { customer = "totara", blake3 = "…" }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// The customer that a caller with this key acts for.
    pub customer: CustomerId,
    /// The hash of the key; the key itself is nowhere.
    pub hash: KeyHash,
}

/// A route: `route.ID = { model = "assistant-7b", version = 3, open = false }` or
/// `route.ID = { service = "waitlist", idempotent = false }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// What answers requests on this route.
    pub backend: Backend,
    /// Whether callers without a key may use the route.
    pub open: bool,
    /// Whether a request may be run again after a failure.
    pub idempotent: bool,
    /// How long a request may take in all.
    pub timeout: Duration,
}

/// What answers the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Backend {
    /// Replicas of a model.
    Model {
        /// The model.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
        /// The adapter on top, if any.
        adapter: Option<AdapterId>,
    },
    /// Replicas of a plain service.
    Service(ServiceId),
}

/// A target: `target.ID = { address = "127.0.0.1:7001", data_centre = "tamaki-a",
/// checks_fence = false }`, with `service = "waitlist"` for a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Where the target's agent reaches it.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Whether the target itself refuses orders with an old fence number.
    pub checks_fence: bool,
    /// The plain service that it runs; none for a model engine.
    pub service: Option<ServiceId>,
}

/// A model: `model.ID = { bytes = 14_000_000_000, adapters = ["letters"] }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The size of its weights, in bytes.
    pub bytes: u64,
    /// The adapters that may be loaded on top of it.
    pub adapters: Vec<AdapterId>,
}

/// A placement: `place.ID = { model = "assistant-7b", version = 3, data_centre = "tamaki-a",
/// replicas = 3 }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// The model to load.
    pub model: ModelId,
    /// The version of its weights.
    pub version: ModelVersion,
    /// Where the replicas stand.
    pub data_centre: DataCentre,
    /// How many there are.
    pub replicas: u32,
}
