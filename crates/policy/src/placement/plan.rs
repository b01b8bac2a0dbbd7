//! From the counts to the next orders.

use std::{collections::BTreeMap, time::Duration};

use clem_rules::Rules;
use clem_types::TargetId;

use super::{
    Build, Decision, Engine, EngineAction, EngineState, Failure, Stage,
    census::{Census, Spot, Stand},
};

/// The bounds of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most loads that run at once.
    pub loads: usize,
    /// The most versions that one engine holds at once.
    pub builds: usize,
    /// How long a lost engine is waited for before its replicas are replaced.
    pub grace: Duration,
    /// How long a failed load keeps its version from that engine, and two of them from all.
    pub backoff: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            loads: 2,
            builds: 2,
            grace: Duration::from_secs(10),
            backoff: Duration::from_secs(600),
        }
    }
}

/// After so many failures a version that isn't ready anywhere is left alone.
const MAX_FAILURES: usize = 2;

/// A declared version that lacks replicas.
struct Need<'a> {
    spot: &'a Spot,
    missing: usize,
    /// What stands of what is wanted, in thousandths; the least goes first.
    filled: usize,
    /// Whether a route uses it.
    used: bool,
}

/// The next orders, each for another engine.
pub fn plan(
    rules: &Rules,
    engines: &BTreeMap<TargetId, Engine>,
    failures: &[Failure],
    limits: &Limits,
) -> Vec<Decision> {
    let census = Census::new(rules, engines, limits.grace);
    let mut planner = Planner {
        engines,
        failures,
        limits,
        loads: census.loads,
        decisions: BTreeMap::new(),
    };
    planner.load_missing(&census);
    planner.unload_surplus(&census);
    planner.load_adapters(&census);
    planner.decisions.into_values().collect()
}

struct Planner<'a> {
    engines: &'a BTreeMap<TargetId, Engine>,
    failures: &'a [Failure],
    limits: &'a Limits,
    loads: usize,
    decisions: BTreeMap<TargetId, Decision>,
}

impl Planner<'_> {
    // -----------------------------------------------------------------------------------------
    // Loads

    fn load_missing(&mut self, census: &Census) {
        for need in needs(census) {
            let (build, _) = need.spot;
            let mut missing = need.missing;
            if census.ready_anywhere(build) == 0 {
                if self.is_stopped(build) {
                    continue;
                }
                // The first load of a version shows whether it can be loaded at all.
                let first = census.coming_anywhere(build) + self.decided_loads(build) == 0;
                missing = usize::from(first);
            }
            for _ in 0..missing {
                if self.loads >= self.limits.loads || !self.load_one(&need) {
                    break;
                }
            }
        }
    }

    /// Orders one more load; says whether an engine was found.
    fn load_one(&mut self, need: &Need<'_>) -> bool {
        let (build, centre) = need.spot;
        let mut candidates = Vec::new();
        for (target, engine) in self.engines {
            if engine.data_centre != *centre || !self.can_load(target, engine, build) {
                continue;
            }
            candidates.push((held_builds(engine), target));
        }
        let Some((_, target)) = candidates.iter().min() else {
            return false;
        };
        let decision = Decision {
            target: (*target).clone(),
            action: EngineAction::Load(build.clone()),
            candidates: candidates.len(),
            reason: "fewer replicas than declared; the engine holds the fewest versions",
        };
        self.decisions.insert(decision.target.clone(), decision);
        self.loads += 1;
        true
    }

    fn can_load(&self, target: &TargetId, engine: &Engine, build: &Build) -> bool {
        let fits = match engine.builds.get(build) {
            Some(held) => held.stage == Stage::Failed,
            None => held_builds(engine) < self.limits.builds,
        };
        fits && self.is_free(target, engine)
            && !self.has_failed(target, &EngineAction::Load(build.clone()))
    }

    /// Whether an engine can be given an order.
    fn is_free(&self, target: &TargetId, engine: &Engine) -> bool {
        engine.state == EngineState::Open
            && engine.open.is_empty()
            && !self.decisions.contains_key(target)
    }

    fn has_failed(&self, target: &TargetId, action: &EngineAction) -> bool {
        self.recent_failures(action)
            .any(|failure| failure.target == *target)
    }

    fn is_stopped(&self, build: &Build) -> bool {
        let load = EngineAction::Load(build.clone());
        self.recent_failures(&load).count() >= MAX_FAILURES
    }

    fn recent_failures<'b>(
        &'b self,
        action: &'b EngineAction,
    ) -> impl Iterator<Item = &'b Failure> {
        self.failures
            .iter()
            .filter(|failure| failure.action == *action && failure.age < self.limits.backoff)
    }

    fn decided_loads(&self, build: &Build) -> usize {
        let load = EngineAction::Load(build.clone());
        let decided = self.decisions.values();
        decided.filter(|decision| decision.action == load).count()
    }

    // -----------------------------------------------------------------------------------------
    // Unloads

    fn unload_surplus(&mut self, census: &Census) {
        for (spot, stand) in &census.stands {
            let (build, _) = spot;
            // The rules say nothing of models that they don't place.
            if !census.placed.contains(&build.model) {
                continue;
            }
            match census.wanted.get(spot) {
                Some(wanted) if stand.ready.len() > *wanted as usize => {
                    self.unload_one(build, stand, "more replicas than declared");
                }
                Some(_) => {}
                // A version that a route uses stays, though it is declared nowhere.
                None if census.used.contains_key(build) => {}
                None if census.others_stand(build) => {
                    self.unload_one(build, stand, "the version is not declared any more");
                }
                None => {}
            }
        }
    }

    fn unload_one(&mut self, build: &Build, stand: &Stand, reason: &'static str) {
        let mut candidates = Vec::new();
        for target in &stand.ready {
            let Some(engine) = self.engines.get(target) else {
                continue;
            };
            let unload = EngineAction::Unload(build.clone());
            if !self.is_free(target, engine) || self.has_failed(target, &unload) {
                continue;
            }
            candidates.push((held_builds(engine), target));
        }
        let Some((_, target)) = candidates.iter().max() else {
            return;
        };
        let decision = Decision {
            target: (*target).clone(),
            action: EngineAction::Unload(build.clone()),
            candidates: candidates.len(),
            reason,
        };
        self.decisions.insert(decision.target.clone(), decision);
    }

    // -----------------------------------------------------------------------------------------
    // Adapters

    fn load_adapters(&mut self, census: &Census) {
        for (target, engine) in self.engines {
            if self.loads >= self.limits.loads || !self.is_free(target, engine) {
                continue;
            }
            let Some(action) = missing_adapter(engine, census) else {
                continue;
            };
            if self.has_failed(target, &action) {
                continue;
            }
            let decision = Decision {
                target: target.clone(),
                action,
                candidates: 1,
                reason: "a route asks for the adapter on this version",
            };
            self.decisions.insert(target.clone(), decision);
            self.loads += 1;
        }
    }
}

/// The declared versions that lack replicas, the most needed first.
fn needs(census: &Census) -> Vec<Need<'_>> {
    let mut needs = Vec::new();
    let none = Stand::default();
    for (spot, wanted) in &census.wanted {
        let stand = census.stands.get(spot).unwrap_or(&none);
        let wanted = *wanted as usize;
        let missing = wanted.saturating_sub(stand.ready.len() + stand.coming + stand.away);
        if missing == 0 {
            continue;
        }
        needs.push(Need {
            spot,
            missing,
            filled: stand.ready.len() * 1000 / wanted,
            used: census.used.contains_key(&spot.0),
        });
    }
    needs.sort_by_key(|need| (!need.used, need.filled));
    needs
}

fn missing_adapter(engine: &Engine, census: &Census) -> Option<EngineAction> {
    for (build, held) in &engine.builds {
        if held.stage != Stage::Ready {
            continue;
        }
        let Some(wanted) = census.used.get(build) else {
            continue;
        };
        let missing = wanted.iter().find(|name| !held.adapters.contains(name));
        if let Some(adapter) = missing {
            return Some(EngineAction::Adapter(build.clone(), adapter.clone()));
        }
    }
    None
}

/// How many versions an engine holds or loads.
fn held_builds(engine: &Engine) -> usize {
    let builds = engine.builds.values();
    builds.filter(|held| held.stage != Stage::Failed).count()
}
