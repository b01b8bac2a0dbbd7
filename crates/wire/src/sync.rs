//! The long poll by which entries and agents renew their lease on the rules and receive changes of
//! the rules, the fleet and the poison list, and orders for targets. See `docs/DESIGN.md`,
//! "Rules in force".

use std::{net::SocketAddr, time::Duration};

use clem_rules::Delta;
use clem_types::{
    AdapterId, BatchId, BodyHash, CustomerId, DataCentre, Epoch, FenceNumber, HolderId,
    Incarnation, ItemIndex, ModelId, ModelVersion, ServiceId, TargetId, Version,
};
use serde::{Deserialize, Serialize};

use crate::Call;

/// A process (entry or agent) that holds a lease on the rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Identifies the process; unchanged by a restart at the same address.
    pub id: HolderId,
    /// A random number that the process draws when it starts.
    pub incarnation: Incarnation,
    /// Whether the process is an entry or an agent.
    pub role: Role,
    /// The data centre that the process runs in.
    pub data_centre: DataCentre,
    /// The address on which the process serves the rest of the fleet.
    pub address: SocketAddr,
}

/// The role of a lease holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers' requests.
    Entry,
    /// Runs beside a target and controls access to it.
    Agent,
}

/// Renews the lease and asks for changes. The leader holds the call until there are changes or
/// `wait_ms` is over.
///
/// The holder counts the lease from the time at which it sent this call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// The process that asks.
    pub holder: Holder,
    /// The version of the rules that the holder has applied, which it thereby confirms.
    pub rules: Version,
    /// The stamp of the holder's fleet view.
    pub fleet: FleetStamp,
    /// The version of the holder's poison list.
    pub poison: Version,
    /// The state of the target; none from entries.
    pub report: Option<TargetReport>,
    /// Whether the process is shutting down and must get no new work.
    pub stopping: bool,
    /// How long the leader may hold the call, in milliseconds.
    pub wait_ms: u32,
}

impl Call for Sync {
    const PATH: &'static str = "/internal/sync";
    const MAX_HOLD: Duration = Duration::from_secs(1);
    type Reply = SyncReply;
}

/// The changes since the versions in the [`Sync`] call.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// How long the holder may use the rules, in milliseconds since it sent the call.
    pub lease_ms: u32,
    /// The changes of the rules, if the holder's version is not the latest.
    pub rules: Option<Delta>,
    /// The changes of the fleet view, if there are any.
    pub fleet: Option<FleetChange>,
    /// The complete poison list, if the holder's version is not the latest.
    pub poison: Option<PoisonList>,
    /// The newest finished order of the agent's target; older orders must not be executed, not even
    /// by an agent that has just started.
    #[serde(default)]
    pub fence: FenceNumber,
    /// The open orders of the agent's target.
    pub orders: Vec<Order>,
    /// Cancelled batch items that the agent must stop.
    pub cancelled: Vec<ItemRef>,
}

/// Identifies an item of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemRef {
    /// The batch that the item belongs to.
    pub batch: BatchId,
    /// The item's index within the batch.
    pub item: ItemIndex,
}

/// The version of a holder's fleet view; each leader's versions form an epoch of their own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetStamp {
    /// The leader's term.
    pub epoch: Epoch,
    /// Number of changes within the epoch.
    pub change: u64,
}

/// The changes of the fleet view since a holder's stamp.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetChange {
    /// The holder's stamp after applying the changes.
    pub stamp: FleetStamp,
    /// Whether `targets` is the complete view, which replaces the holder's.
    pub whole: bool,
    /// Targets that were added or changed.
    pub targets: Vec<TargetView>,
    /// Targets that were removed.
    pub gone: Vec<TargetId>,
}

/// A target as entries see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// The target's id in the rules.
    pub target: TargetId,
    /// The address of the target's agent.
    pub agent: SocketAddr,
    /// The agent's incarnation; answers from an earlier one are discarded.
    pub incarnation: Incarnation,
    /// The data centre that the target runs in.
    pub data_centre: DataCentre,
    /// The models or the service that the target serves.
    pub serves: Serves,
    /// Whether the target accepts new work.
    pub open: bool,
}

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Serves {
    /// The target is a model engine with these models.
    Models(Vec<LoadedModel>),
    /// The target is a plain service.
    Service(ServiceId),
}

/// A model in an engine, in any state of loading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's id in the rules.
    pub model: ModelId,
    /// The version of the model's weights.
    pub version: ModelVersion,
    /// The adapters that are loaded on top of the model.
    pub adapters: Vec<AdapterId>,
    /// Whether the model can serve requests.
    pub state: ModelState,
}

/// The loading state of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ModelState {
    /// The model is being loaded.
    Loading,
    /// The model serves requests.
    Ready,
    /// Loading the model failed.
    Failed,
}

/// An agent's report on its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's address, which identifies it in the rules.
    pub address: SocketAddr,
    /// Whether the target responds.
    pub alive: bool,
    /// The models in the engine; empty for a plain service.
    pub models: Vec<LoadedModel>,
    /// The target's current load.
    pub load: Load,
    /// Whether the agent rejects new work.
    pub draining: bool,
    /// The highest fence number of an order that the agent has executed.
    pub fence: FenceNumber,
    /// Results of orders since the last call.
    pub results: Vec<OrderResult>,
}

/// A target's load, as its agent sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running online requests.
    pub running: u32,
    /// Number of online requests in the agent's queue.
    pub waiting: u32,
    /// Number of running batch items.
    pub batch: u32,
    /// Prompt tokens waiting for prefill.
    pub queued_tokens: u64,
    /// Number of further streams that the target can take.
    pub room: u32,
}

/// An order for a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order's log index; an agent executes no order with a lower number than one that it has
    /// executed.
    pub fence: FenceNumber,
    /// The target that the order is for.
    pub target: TargetId,
    /// What the agent should do.
    pub action: Action,
}

/// The action of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load a model version into the engine.
    Load {
        /// The model's id in the rules.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
    },
    /// Unload a model version from the engine.
    Unload {
        /// The model's id in the rules.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
    },
    /// Load an adapter on top of a loaded model version.
    Adapter {
        /// The model's id in the rules.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
        /// The adapter's id in the rules.
        adapter: AdapterId,
    },
    /// Accept no new work, and finish what is running.
    Drain,
    /// Accept new work again.
    Resume,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The order's fence number.
    pub fence: FenceNumber,
    /// How the order ended.
    pub outcome: OrderOutcome,
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The order has been executed.
    Done,
    /// The order could not be executed, for the given reason.
    Failed(String),
    /// The order was ignored because a newer one had already been executed.
    Stale {
        /// The fence number of the newer order.
        newest: FenceNumber,
    },
}

/// Requests that were in flight at crashes of targets, to be refused or isolated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonList {
    /// Number of changes of the list; not related to the rules' versions.
    pub version: Version,
    /// The requests, bounded in number.
    pub entries: Vec<PoisonEntry>,
}

/// A request that was in flight when a target crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonEntry {
    /// The customer who sent it; none on an open route without a key.
    pub customer: Option<CustomerId>,
    /// Hash of the request body.
    pub body: BodyHash,
    /// Whether the request is suspected or known to crash targets.
    pub verdict: Verdict,
}

/// The classification of a request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may have caused the crash; it must not run together with another suspect.
    Suspect,
    /// The request caused a crash and is refused.
    Poison,
}
