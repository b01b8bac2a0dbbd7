//! Declared and actual replicas of each version in each data centre.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clem_rules::{Backend, Rules};
use clem_types::{AdapterId, DataCentre, ModelId, TargetId};

use super::{Build, Engine, EngineAction, EngineState, Stage};

/// A version in a data centre, for which replicas are declared and counted.
pub(super) type ReplicaKey = (Build, DataCentre);

/// Actual replicas of one version in one data centre.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    /// Open engines on which it is ready.
    pub(super) ready: Vec<TargetId>,
    /// Number of open engines that load it or have an open order to.
    pub(super) loading: usize,
    /// Number of lost or draining engines with it that are within the grace time.
    pub(super) absent: usize,
}

/// Counts that a plan is based on.
#[derive(Debug)]
pub(super) struct ReplicaCounts {
    /// Declared number of replicas.
    pub(super) wanted: BTreeMap<ReplicaKey, u32>,
    /// Actual replicas.
    pub(super) actual: BTreeMap<ReplicaKey, Replicas>,
    /// Versions that routes use, with the adapters that the routes need.
    pub(super) used: BTreeMap<Build, BTreeSet<AdapterId>>,
    /// Models with at least one declared placement.
    pub(super) placed: BTreeSet<ModelId>,
    /// Number of loads that are ordered or running.
    pub(super) loads: usize,
}

impl ReplicaCounts {
    pub(super) fn new(
        rules: &Rules,
        engines: &BTreeMap<TargetId, Engine>,
        grace: Duration,
    ) -> Self {
        let mut counts = Self {
            wanted: BTreeMap::new(),
            actual: BTreeMap::new(),
            used: BTreeMap::new(),
            placed: BTreeSet::new(),
            loads: 0,
        };
        counts.count_rules(rules);
        for (target, engine) in engines {
            counts.count_engine(target, engine, grace);
        }
        counts
    }

    fn count_rules(&mut self, rules: &Rules) {
        for placement in rules.placements().values() {
            let build = Build {
                model: placement.model.clone(),
                version: placement.version,
            };
            self.placed.insert(placement.model.clone());
            let key = (build, placement.data_centre.clone());
            self.wanted.insert(key, placement.replicas);
        }
        for route in rules.routes().values() {
            let Backend::Model {
                model,
                version,
                adapter,
            } = &route.backend
            else {
                continue;
            };
            let build = Build {
                model: model.clone(),
                version: *version,
            };
            let adapters = self.used.entry(build).or_default();
            adapters.extend(adapter.iter().cloned());
        }
    }

    fn count_engine(&mut self, target: &TargetId, engine: &Engine, grace: Duration) {
        let (absent, counts) = match engine.state {
            EngineState::Open => (false, true),
            EngineState::Draining(age) => (true, age < grace),
            EngineState::Lost(age) if age < grace => (true, true),
            EngineState::Lost(_) => return,
        };
        self.loads += running_loads(engine);
        if !counts {
            return;
        }
        let centre = &engine.data_centre;
        for order in &engine.open {
            let EngineAction::Load(build) = order else {
                continue;
            };
            if !engine.builds.contains_key(build) {
                self.replicas(build, centre).loading += 1;
            }
        }
        for (build, held) in &engine.builds {
            if engine.open.contains(&EngineAction::Unload(build.clone())) {
                continue;
            }
            let ordered = engine.open.contains(&EngineAction::Load(build.clone()));
            let replicas = self.replicas(build, centre);
            match held.stage {
                Stage::Ready | Stage::Loading if absent => replicas.absent += 1,
                Stage::Ready => replicas.ready.push(target.clone()),
                Stage::Loading => replicas.loading += 1,
                Stage::Failed if ordered => replicas.loading += 1,
                Stage::Failed => {}
            }
        }
    }

    fn replicas(&mut self, build: &Build, centre: &DataCentre) -> &mut Replicas {
        let key = (build.clone(), centre.clone());
        self.actual.entry(key).or_default()
    }

    /// Number of engines in all data centres on which a version is ready.
    pub(super) fn ready_anywhere(&self, build: &Build) -> usize {
        let of_build = self.actual.iter().filter(|((other, _), _)| other == build);
        of_build.map(|(_, replicas)| replicas.ready.len()).sum()
    }

    /// Number of engines in all data centres that load a version.
    pub(super) fn loading_anywhere(&self, build: &Build) -> usize {
        let of_build = self.actual.iter().filter(|((other, _), _)| other == build);
        of_build.map(|(_, replicas)| replicas.loading).sum()
    }

    /// Whether all other declared versions of the model have all their replicas.
    pub(super) fn others_complete(&self, build: &Build) -> bool {
        for (key, wanted) in &self.wanted {
            let (other, _) = key;
            if other.model != build.model || other == build {
                continue;
            }
            let ready = self
                .actual
                .get(key)
                .map_or(0, |replicas| replicas.ready.len());
            if ready < *wanted as usize {
                return false;
            }
        }
        true
    }
}

/// Number of loads that are ordered or that the engine reports as running.
fn running_loads(engine: &Engine) -> usize {
    let ordered = |build: &Build| engine.open.contains(&EngineAction::Load(build.clone()));
    let builds = engine.builds.iter();
    let reported = builds.filter(|(build, held)| held.stage == Stage::Loading && !ordered(build));
    let orders = engine.open.iter();
    let open =
        orders.filter(|order| matches!(order, EngineAction::Load(_) | EngineAction::Adapter(..)));
    reported.count() + open.count()
}
