//! What is declared and what stands, counted for each version and data centre.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clem_rules::{Backend, Rules};
use clem_types::{AdapterId, DataCentre, ModelId, TargetId};

use super::{Build, Engine, EngineAction, EngineState, Stage};

/// A version in a data centre.
pub(super) type Spot = (Build, DataCentre);

/// Engines by how they stand to one version in one data centre.
#[derive(Debug, Default)]
pub(super) struct Stand {
    /// Open engines that answer with it.
    pub(super) ready: Vec<TargetId>,
    /// Open engines that load it or are about to.
    pub(super) coming: usize,
    /// Engines that held it and may come back within the grace time.
    pub(super) away: usize,
}

/// The counts that a plan is made from.
#[derive(Debug)]
pub(super) struct Census {
    /// Declared replicas.
    pub(super) wanted: BTreeMap<Spot, u32>,
    /// What stands.
    pub(super) stands: BTreeMap<Spot, Stand>,
    /// Versions that routes use, with the adapters that they ask for.
    pub(super) used: BTreeMap<Build, BTreeSet<AdapterId>>,
    /// Models that the rules place at all.
    pub(super) placed: BTreeSet<ModelId>,
    /// Loads that are open or running.
    pub(super) loads: usize,
}

impl Census {
    pub(super) fn new(
        rules: &Rules,
        engines: &BTreeMap<TargetId, Engine>,
        grace: Duration,
    ) -> Self {
        let mut census = Self {
            wanted: BTreeMap::new(),
            stands: BTreeMap::new(),
            used: BTreeMap::new(),
            placed: BTreeSet::new(),
            loads: 0,
        };
        census.count_rules(rules);
        for (target, engine) in engines {
            census.count_engine(target, engine, grace);
        }
        census
    }

    fn count_rules(&mut self, rules: &Rules) {
        for place in rules.places().values() {
            let build = Build {
                model: place.model.clone(),
                version: place.version,
            };
            self.placed.insert(place.model.clone());
            let spot = (build, place.data_centre.clone());
            self.wanted.insert(spot, place.replicas);
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
        let (away, counts) = match engine.state {
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
                self.stand(build, centre).coming += 1;
            }
        }
        for (build, held) in &engine.builds {
            if engine.open.contains(&EngineAction::Unload(build.clone())) {
                continue;
            }
            let ordered = engine.open.contains(&EngineAction::Load(build.clone()));
            let stand = self.stand(build, centre);
            match held.stage {
                Stage::Ready | Stage::Loading if away => stand.away += 1,
                Stage::Ready => stand.ready.push(target.clone()),
                Stage::Loading => stand.coming += 1,
                Stage::Failed if ordered => stand.coming += 1,
                Stage::Failed => {}
            }
        }
    }

    fn stand(&mut self, build: &Build, centre: &DataCentre) -> &mut Stand {
        let spot = (build.clone(), centre.clone());
        self.stands.entry(spot).or_default()
    }

    /// Engines that answer with a version, in all data centres.
    pub(super) fn ready_anywhere(&self, build: &Build) -> usize {
        let of_build = self.stands.iter().filter(|((other, _), _)| other == build);
        of_build.map(|(_, stand)| stand.ready.len()).sum()
    }

    /// Engines that load a version, in all data centres.
    pub(super) fn coming_anywhere(&self, build: &Build) -> usize {
        let of_build = self.stands.iter().filter(|((other, _), _)| other == build);
        of_build.map(|(_, stand)| stand.coming).sum()
    }

    /// Whether every declared version of the model but `build` stands in full.
    pub(super) fn others_stand(&self, build: &Build) -> bool {
        for (spot, wanted) in &self.wanted {
            let (other, _) = spot;
            if other.model != build.model || other == build {
                continue;
            }
            let ready = self.stands.get(spot).map_or(0, |stand| stand.ready.len());
            if ready < *wanted as usize {
                return false;
            }
        }
        true
    }
}

/// Loads that are open or that the engine reports as running.
fn running_loads(engine: &Engine) -> usize {
    let ordered = |build: &Build| engine.open.contains(&EngineAction::Load(build.clone()));
    let builds = engine.builds.iter();
    let reported = builds.filter(|(build, held)| held.stage == Stage::Loading && !ordered(build));
    let orders = engine.open.iter();
    let open =
        orders.filter(|order| matches!(order, EngineAction::Load(_) | EngineAction::Adapter(..)));
    reported.count() + open.count()
}
