//! Planner that turns the replica counts into the next orders.

use std::{collections::BTreeMap, time::Duration};

use clem_rules::Rules;
use clem_types::TargetId;

use super::{
    Build, Decision, Engine, EngineAction, EngineState, Failure, Stage,
    counts::{ReplicaCounts, ReplicaKey, Replicas},
};

/// Limits of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of concurrent loads in the fleet.
    pub loads: usize,
    /// Maximum number of versions in one engine.
    pub builds: usize,
    /// Time after which the replicas of a lost or draining engine are replaced.
    pub grace: Duration,
    /// Time after a failed order in which it is not repeated on the same engine. Two failed loads
    /// of a version without a ready replica stop it on all engines for this time.
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

/// Recent failures after which a version without a ready replica is not loaded.
const MAX_FAILURES: usize = 2;

/// A declared version with missing replicas.
struct Need<'a> {
    key: &'a ReplicaKey,
    missing: usize,
    /// Ready replicas per thousand declared ones; the lowest goes first.
    filled: usize,
    /// Whether a route uses the version.
    used: bool,
}

/// Returns the next orders, at most one per engine.
pub fn plan(
    rules: &Rules,
    engines: &BTreeMap<TargetId, Engine>,
    failures: &[Failure],
    limits: &Limits,
) -> Vec<Decision> {
    let counts = ReplicaCounts::new(rules, engines, limits.grace);
    let mut planner = Planner {
        engines,
        failures,
        limits,
        loads: counts.loads,
        decisions: BTreeMap::new(),
    };
    planner.load_missing(&counts);
    planner.unload_surplus(&counts);
    planner.load_adapters(&counts);
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

    fn load_missing(&mut self, counts: &ReplicaCounts) {
        for need in needs(counts) {
            let (build, _) = need.key;
            let mut missing = need.missing;
            if counts.ready_anywhere(build) == 0 {
                if self.is_stopped(build) {
                    continue;
                }
                // One load shows whether the version can be loaded at all.
                let first = counts.loading_anywhere(build) + self.decided_loads(build) == 0;
                missing = usize::from(first);
            }
            for _ in 0..missing {
                if self.loads >= self.limits.loads || !self.load_one(&need) {
                    break;
                }
            }
        }
    }

    /// Orders one more load; returns whether an engine was found.
    fn load_one(&mut self, need: &Need<'_>) -> bool {
        let (build, centre) = need.key;
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

    /// Whether an engine accepts an order: it is open and has none yet.
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

    fn unload_surplus(&mut self, counts: &ReplicaCounts) {
        for (key, replicas) in &counts.actual {
            let (build, _) = key;
            // Models without any placement are not managed.
            if !counts.placed.contains(&build.model) {
                continue;
            }
            match counts.wanted.get(key) {
                Some(wanted) if replicas.ready.len() > *wanted as usize => {
                    self.unload_one(build, replicas, "more replicas than declared");
                }
                Some(_) => {}
                // A version that a route uses stays, even if it is not declared here.
                None if counts.used.contains_key(build) => {}
                None if counts.others_complete(build) => {
                    self.unload_one(build, replicas, "the version is not declared any more");
                }
                None => {}
            }
        }
    }

    fn unload_one(&mut self, build: &Build, replicas: &Replicas, reason: &'static str) {
        let mut candidates = Vec::new();
        for target in &replicas.ready {
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

    fn load_adapters(&mut self, counts: &ReplicaCounts) {
        for (target, engine) in self.engines {
            if self.loads >= self.limits.loads || !self.is_free(target, engine) {
                continue;
            }
            let Some(action) = missing_adapter(engine, counts) else {
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

/// Declared versions with missing replicas, the most urgent first.
fn needs(counts: &ReplicaCounts) -> Vec<Need<'_>> {
    let mut needs = Vec::new();
    let none = Replicas::default();
    for (key, wanted) in &counts.wanted {
        let replicas = counts.actual.get(key).unwrap_or(&none);
        let wanted = *wanted as usize;
        let missing =
            wanted.saturating_sub(replicas.ready.len() + replicas.loading + replicas.absent);
        if missing == 0 {
            continue;
        }
        needs.push(Need {
            key,
            missing,
            filled: replicas.ready.len() * 1000 / wanted,
            used: counts.used.contains_key(&key.0),
        });
    }
    needs.sort_by_key(|need| (!need.used, need.filled));
    needs
}

fn missing_adapter(engine: &Engine, counts: &ReplicaCounts) -> Option<EngineAction> {
    for (build, held) in &engine.builds {
        if held.stage != Stage::Ready {
            continue;
        }
        let Some(wanted) = counts.used.get(build) else {
            continue;
        };
        let missing = wanted.iter().find(|name| !held.adapters.contains(name));
        if let Some(adapter) = missing {
            return Some(EngineAction::Adapter(build.clone(), adapter.clone()));
        }
    }
    None
}

/// Number of versions that an engine holds or loads.
fn held_builds(engine: &Engine) -> usize {
    let builds = engine.builds.values();
    builds.filter(|held| held.stage != Stage::Failed).count()
}
