//! Leases on the rules, the view of the fleet, and orders to targets: what entries and agents
//! fetch from the control leader by long polls. See `docs/DESIGN.md`, "Rules in force".

use std::{net::SocketAddr, time::Duration};

use clem_rules::Delta;
use clem_types::{
    AdapterId, BatchId, BodyHash, CustomerId, DataCentre, Epoch, FenceNumber, HolderId,
    Incarnation, ItemIndex, ModelId, ModelVersion, RulesVersion, ServiceId, TargetId,
};
use serde::{Deserialize, Serialize};

use crate::Call;

/// A process that holds a lease on the rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The process; the same after a restart at the same address.
    pub id: HolderId,
    /// This life of the process, drawn at random at its start.
    pub incarnation: Incarnation,
    /// What the process does.
    pub role: Role,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Where other processes of the fleet reach it.
    pub address: SocketAddr,
}

/// What a lease holder does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a target.
    Agent,
}

/// Asks for a lease and for news; waits at the leader until there is news or the wait is over.
///
/// The lease counts at the holder from the moment it sent this call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// Who asks.
    pub holder: Holder,
    /// The version of the rules that the holder works by; this confirms it.
    pub rules: RulesVersion,
    /// The fleet view that the holder has.
    pub fleet: FleetStamp,
    /// The poison list that the holder has.
    pub poison: RulesVersion,
    /// The state of the target, from an agent.
    pub report: Option<TargetReport>,
    /// Whether the process is stopping and wants no new work.
    pub stopping: bool,
    /// How long the leader may hold the call, in milliseconds.
    pub wait_ms: u32,
}

impl Call for Sync {
    const PATH: &'static str = "/internal/sync";
    const MAX_HOLD: Duration = Duration::from_secs(1);
    type Reply = SyncReply;
}

/// The news since what the holder has.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// How long the holder may work by the rules, in milliseconds since it asked.
    pub lease_ms: u32,
    /// The change of the rules, where the holder's version is not the latest.
    pub rules: Option<Delta>,
    /// The change of the fleet view.
    pub fleet: Option<FleetChange>,
    /// The whole poison list, where the holder's is not the latest.
    pub poison: Option<PoisonList>,
    /// The newest order to the agent's target that has ended: none older is to be obeyed, also by
    /// an agent that has just started.
    #[serde(default)]
    pub fence: FenceNumber,
    /// Orders for the agent's target that have not been answered yet.
    pub orders: Vec<Order>,
    /// Batch items that the agent runs and that must stop.
    pub cancelled: Vec<ItemRef>,
}

/// An item of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemRef {
    /// The batch.
    pub batch: BatchId,
    /// The place in the batch.
    pub item: ItemIndex,
}

/// Which view of the fleet a holder has; a new leader's views start a new epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetStamp {
    /// The leader's term.
    pub epoch: Epoch,
    /// The change within the term.
    pub change: u64,
}

/// The change of the fleet view since a holder's stamp.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetChange {
    /// The stamp that the holder has afterwards.
    pub stamp: FleetStamp,
    /// Whether `targets` is the whole view, replacing what the holder has.
    pub whole: bool,
    /// Targets that are new or different.
    pub targets: Vec<TargetView>,
    /// Targets that are gone.
    pub gone: Vec<TargetId>,
}

/// A target as entries see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// The target.
    pub target: TargetId,
    /// Its agent's address.
    pub agent: SocketAddr,
    /// Its agent's life; answers of an earlier one are dropped.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// What it serves.
    pub serves: Serves,
    /// Whether it takes new work.
    pub open: bool,
}

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Serves {
    /// A model engine with these models loaded.
    Models(Vec<LoadedModel>),
    /// A plain service.
    Service(ServiceId),
}

/// A model in an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: ModelVersion,
    /// The adapters loaded on top.
    pub adapters: Vec<AdapterId>,
    /// Whether it answers requests.
    pub state: ModelState,
}

/// How far the loading of a model is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ModelState {
    /// Being loaded.
    Loading,
    /// Answering requests.
    Ready,
    /// Could not be loaded.
    Failed,
}

/// What an agent says of its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's address, by which its rule is found.
    pub address: SocketAddr,
    /// Whether the target answers.
    pub alive: bool,
    /// The models in the engine; none for a plain service.
    pub models: Vec<LoadedModel>,
    /// How busy the target is.
    pub load: Load,
    /// Whether the agent takes no new work.
    pub draining: bool,
    /// The highest fence number that the agent has obeyed.
    pub fence: FenceNumber,
    /// Answers to orders since the last call.
    pub results: Vec<OrderResult>,
}

/// How busy a target is, as its agent sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Online requests that run.
    pub running: u32,
    /// Online requests that wait in the agent's queue.
    pub waiting: u32,
    /// Batch items that run.
    pub batch: u32,
    /// Prompt tokens that wait to be read in.
    pub queued_tokens: u64,
    /// Streams that may still be added.
    pub room: u32,
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The number from the log; a target obeys no older one.
    pub fence: FenceNumber,
    /// The target.
    pub target: TargetId,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load a model version.
    Load {
        /// The model.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
    },
    /// Unload a model version.
    Unload {
        /// The model.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
    },
    /// Load an adapter on top of a model version.
    Adapter {
        /// The model.
        model: ModelId,
        /// The version of its weights.
        version: ModelVersion,
        /// The adapter.
        adapter: AdapterId,
    },
    /// Take no new work, and finish what runs.
    Drain,
    /// Take work again.
    Resume,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The order's number.
    pub fence: FenceNumber,
    /// Its outcome.
    pub outcome: OrderOutcome,
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It has been carried out.
    Done,
    /// The target could not carry it out.
    Failed(String),
    /// A newer order had been obeyed already.
    Stale {
        /// The newer order's number.
        newest: FenceNumber,
    },
}

/// Requests that crashed targets, so that they are refused or kept apart.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonList {
    /// Counts the changes of the list.
    pub version: RulesVersion,
    /// The requests, oldest first, bounded in number.
    pub entries: Vec<PoisonEntry>,
}

/// A request that was in flight when a target died.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonEntry {
    /// Whose request it is.
    pub customer: Option<CustomerId>,
    /// What its body hashes to.
    pub body: BodyHash,
    /// How much is known of it.
    pub verdict: Verdict,
}

/// How much is known of a request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may be the cause: it runs with no other suspect on a target.
    Suspect,
    /// It is the cause: it is refused at once.
    Poison,
}
