//! Placement of model versions on engines: a reconciliation loop that orders loads and unloads.
//!
//! [`plan`] compares the declared replicas with the state that the engines report and returns the
//! next orders. It is called periodically and keeps no state; open orders count as carried out, so
//! that nothing is ordered twice. See `docs/design/control.md`, "Placement".
//!
//! - A version that a route uses is never unloaded below its declared number of replicas.
//! - A version that is no longer declared is unloaded only when all declared versions of its model
//!   have all their replicas.
//! - The number of concurrent loads is limited, as all share the bandwidth of the weight store. The
//!   most urgent ones go first.
//! - A version without any ready replica is first loaded on a single engine. After two failures it
//!   is not tried again for a while.
//! - A lost replica is replaced after a grace time, in the same data centre only.

mod counts;
mod plan;

pub use plan::{Limits, plan};

use std::{collections::BTreeMap, time::Duration};

use clem_types::{AdapterId, DataCentre, ModelId, ModelVersion, TargetId};

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Build {
    /// Id of the model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: ModelVersion,
}

/// State of an engine, as known to the control leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Data centre that the engine runs in.
    pub data_centre: DataCentre,
    /// Whether it is reachable and accepts new work.
    pub state: EngineState,
    /// Versions in the engine, as last reported.
    pub builds: BTreeMap<Build, BuildState>,
    /// Orders without a reported outcome.
    pub open: Vec<EngineAction>,
}

/// Availability of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    /// Reachable and accepting new work.
    Open,
    /// Reachable, but draining for this long.
    Draining(Duration),
    /// Without a report for this long.
    Lost(Duration),
}

/// State of one version in an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BuildState {
    /// Progress of the load.
    pub stage: Stage,
    /// Adapters that are loaded for the version.
    pub adapters: Vec<AdapterId>,
}

/// Progress of loading a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The load is in progress.
    Loading,
    /// The version serves requests.
    Ready,
    /// The load failed.
    Failed,
}

/// A failed order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Engine that the order was for.
    pub target: TargetId,
    /// Ordered action.
    pub action: EngineAction,
    /// Time since the failure.
    pub age: Duration,
}

/// Action that an engine is ordered to take.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineAction {
    /// Load a version.
    Load(Build),
    /// Unload a version.
    Unload(Build),
    /// Load an adapter for a version that is ready.
    Adapter(Build, AdapterId),
}

/// An order, with the explanation that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Engine that the order is for.
    pub target: TargetId,
    /// Ordered action.
    pub action: EngineAction,
    /// Number of engines that the order could have gone to.
    pub candidates: usize,
    /// Explanation for the log.
    pub reason: &'static str,
}
