//! Which engine loads or unloads which model version.
//!
//! [`plan`] holds what the rules declare against what the engines report and names the next
//! orders. It is called again and again; each call works from what is so far, and an order that
//! is open counts as carried out, so that nothing is ordered twice. See
//! `docs/design/control.md`, "Placement".
//!
//! - A version that a route uses is never unloaded below what is declared for it.
//! - A version is unloaded only when every other declared version of its model stands in full.
//! - Few loads run at once, the most needed first, as all share the weight store's rate.
//! - A version that isn't ready anywhere is loaded on one engine first; after two failures it
//!   is left alone for a while.
//! - A replica that is lost is replaced after a grace time, in its own data centre only.

mod census;
mod plan;

pub use plan::{Limits, plan};

use std::{collections::BTreeMap, time::Duration};

use clem_types::{AdapterId, DataCentre, ModelId, ModelVersion, TargetId};

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Build {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: ModelVersion,
}

/// A model engine as the control leader knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Whether it answers, or for how long it hasn't.
    pub state: EngineState,
    /// What it holds, or held when it was last heard of.
    pub builds: BTreeMap<Build, BuildState>,
    /// Orders that it has not answered yet.
    pub open: Vec<EngineAction>,
}

/// Whether an engine answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    /// It answers and takes new work.
    Open,
    /// It answers, and has taken no new work for this long.
    Draining(Duration),
    /// It has not been heard of for this long.
    Lost(Duration),
}

/// A version in an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BuildState {
    /// How far its loading is.
    pub stage: Stage,
    /// The adapters on top.
    pub adapters: Vec<AdapterId>,
}

/// How far the loading of a version is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Being loaded.
    Loading,
    /// Answering requests.
    Ready,
    /// Could not be loaded.
    Failed,
}

/// An order that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The engine.
    pub target: TargetId,
    /// What it should have done.
    pub action: EngineAction,
    /// How long ago.
    pub age: Duration,
}

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineAction {
    /// Load a version.
    Load(Build),
    /// Unload a version.
    Unload(Build),
    /// Load an adapter on top of a version.
    Adapter(Build, AdapterId),
}

/// A decision, with what it was chosen from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The engine.
    pub target: TargetId,
    /// What it is to do.
    pub action: EngineAction,
    /// How many engines could have been chosen.
    pub candidates: usize,
    /// Why, for the log.
    pub reason: &'static str,
}
