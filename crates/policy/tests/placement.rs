//! Placement: it converges with few orders and keeps its invariants at each step.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

use std::{collections::BTreeMap, time::Duration};

use clem_policy::placement::{
    Build, BuildState, Decision, Engine, EngineAction, EngineState, Failure, Limits, Stage, plan,
};
use clem_rules::{Rules, parse};
use clem_types::{ModelVersion, TargetId, Version};
use proptest::{prelude::*, test_runner::RngSeed};

/// Number of engines in each of the two data centres.
const ENGINES: u32 = 4;

fn build(version: u32) -> Build {
    Build {
        model: "m".parse().unwrap(),
        version: ModelVersion(version),
    }
}

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().unwrap()
}

/// Rules with a route to version `used` and placements of (version, data centre, replicas).
fn rules(used: u32, places: &[(u32, char, u32)]) -> Rules {
    let mut text = format!(
        "route.chat = {{ model = \"m\", version = {used} }} # a\nmodel.m = {{ bytes = 5 }} # a\n"
    );
    for number in 0..2 * ENGINES {
        let centre = centre_of(number);
        text += &format!(
            "target.t{number} = {{ address = \"127.0.0.1:{}\", data_centre = \"{centre}\" }} # a\n",
            7000 + number
        );
    }
    for (version, centre, replicas) in places {
        text += &format!(
            "place.p{version}{centre} = {{ model = \"m\", version = {version}, \
             data_centre = \"{centre}\", replicas = {replicas} }} # a\n"
        );
    }
    parse(&text, Version(1)).unwrap()
}

fn centre_of(number: u32) -> char {
    if number < ENGINES { 'a' } else { 'b' }
}

/// Simulated fleet that carries out orders, slowly or not at all.
#[derive(Debug)]
struct Sim {
    engines: BTreeMap<TargetId, Engine>,
    failures: Vec<Failure>,
    /// Version whose loads fail.
    bad: u32,
    orders: usize,
}

impl Sim {
    fn new() -> Self {
        let mut engines = BTreeMap::new();
        for number in 0..2 * ENGINES {
            let engine = Engine {
                data_centre: centre_of(number).to_string().parse().unwrap(),
                state: EngineState::Open,
                builds: BTreeMap::new(),
                open: Vec::new(),
            };
            engines.insert(target(number), engine);
        }
        Self {
            engines,
            failures: Vec::new(),
            bad: 9,
            orders: 0,
        }
    }

    fn ready(&self, version: u32, centre: char) -> usize {
        let stands = |engine: &&Engine| {
            engine.state == EngineState::Open
                && engine.data_centre.as_str() == centre.to_string()
                && engine
                    .builds
                    .get(&build(version))
                    .is_some_and(|held| held.stage == Stage::Ready)
        };
        self.engines.values().filter(stands).count()
    }

    /// Number of open loads, without those of engines that are lost for longer than the grace time.
    fn loading(&self) -> usize {
        let mut loading = 0;
        for engine in self.engines.values() {
            if matches!(engine.state, EngineState::Lost(age) if age >= Limits::default().grace) {
                continue;
            }
            loading += engine
                .open
                .iter()
                .filter(|order| matches!(order, EngineAction::Load(_)))
                .count();
        }
        loading
    }

    /// Runs one pass of the controller and opens the orders that it decides.
    fn pass(&mut self, rules: &Rules) -> Vec<Decision> {
        let decisions = plan(rules, &self.engines, &self.failures, &Limits::default());
        for decision in &decisions {
            let engine = self.engines.get_mut(&decision.target).unwrap();
            assert!(engine.open.is_empty(), "a second order for an engine");
            engine.open.push(decision.action.clone());
        }
        self.orders += decisions.len();
        // An engine that comes back may exceed the limit with its open load, but no pass adds one.
        let loads = decisions
            .iter()
            .any(|d| matches!(d.action, EngineAction::Load(_)));
        let bound = Limits::default().loads;
        assert!(!loads || self.loading() <= bound, "too many loads at once");
        decisions
    }

    /// Completes the open orders of one engine.
    fn end_orders(&mut self, target: &TargetId) {
        let engine = self.engines.get_mut(target).unwrap();
        if matches!(engine.state, EngineState::Lost(_)) {
            return;
        }
        for order in std::mem::take(&mut engine.open) {
            match order {
                EngineAction::Load(build) if build.version.0 == self.bad => {
                    self.failures.push(Failure {
                        target: target.clone(),
                        action: EngineAction::Load(build),
                        age: Duration::ZERO,
                    });
                }
                EngineAction::Load(build) => {
                    let held = BuildState {
                        stage: Stage::Ready,
                        adapters: Vec::new(),
                    };
                    engine.builds.insert(build, held);
                }
                EngineAction::Unload(build) => {
                    engine.builds.remove(&build);
                }
                EngineAction::Adapter(build, adapter) => {
                    engine
                        .builds
                        .get_mut(&build)
                        .unwrap()
                        .adapters
                        .push(adapter);
                }
            }
        }
    }

    fn end_all(&mut self) {
        for number in 0..2 * ENGINES {
            self.end_orders(&target(number));
        }
    }

    /// Runs passes until nothing is ordered any more.
    fn settle(&mut self, rules: &Rules) {
        for _ in 0..100 {
            let decisions = self.pass(rules);
            let idle = self.engines.values().all(|engine| engine.open.is_empty());
            if decisions.is_empty() && idle {
                return;
            }
            self.end_all();
        }
        panic!("the controller doesn't settle: {:?}", self.engines);
    }
}

#[test]
fn declared_replicas_are_loaded_and_then_nothing_is_ordered() {
    let mut sim = Sim::new();
    let rules = rules(3, &[(3, 'a', 3), (3, 'b', 2)]);
    sim.settle(&rules);
    assert_eq!((sim.ready(3, 'a'), sim.ready(3, 'b')), (3, 2));
    assert_eq!(sim.orders, 5);
}

#[test]
fn a_rollout_never_goes_below_the_declared_replicas() {
    let mut sim = Sim::new();
    sim.settle(&rules(3, &[(3, 'a', 4), (3, 'b', 4)]));
    // Declare both versions, switch the route, then drop the old version.
    let both = rules(3, &[(3, 'a', 4), (4, 'a', 4), (3, 'b', 4), (4, 'b', 4)]);
    sim.settle(&both);
    let after = rules(4, &[(4, 'a', 4), (4, 'b', 4)]);
    while !sim.pass(&after).is_empty() {
        sim.end_all();
        assert_eq!((sim.ready(4, 'a'), sim.ready(4, 'b')), (4, 4));
    }
    assert_eq!((sim.ready(3, 'a'), sim.ready(3, 'b')), (0, 0));
}

#[test]
fn a_version_in_use_stays_although_its_placement_is_gone() {
    let mut sim = Sim::new();
    sim.settle(&rules(3, &[(3, 'a', 3)]));
    sim.settle(&rules(3, &[(4, 'a', 3)]));
    assert_eq!((sim.ready(3, 'a'), sim.ready(4, 'a')), (3, 3));
}

#[test]
fn an_old_version_is_kept_until_the_new_one_is_complete() {
    let mut sim = Sim::new();
    sim.settle(&rules(3, &[(3, 'a', 3)]));
    // The route is switched, but the new version can't be loaded.
    sim.bad = 4;
    sim.settle(&rules(4, &[(4, 'a', 3)]));
    assert_eq!((sim.ready(3, 'a'), sim.ready(4, 'a')), (3, 0));
}

#[test]
fn a_version_that_fails_on_two_engines_is_not_loaded_elsewhere() {
    let mut sim = Sim::new();
    sim.bad = 4;
    sim.settle(&rules(3, &[(3, 'a', 2), (4, 'a', 4), (4, 'b', 4)]));
    assert_eq!(sim.failures.len(), 2);
    assert_eq!(sim.ready(3, 'a'), 2);
}

#[test]
fn a_lost_replica_is_replaced_after_the_grace_time_and_once() {
    let mut sim = Sim::new();
    let rules = rules(3, &[(3, 'a', 3)]);
    sim.settle(&rules);
    let lost = target(0);
    sim.engines.get_mut(&lost).unwrap().state = EngineState::Lost(Duration::from_secs(9));
    assert!(sim.pass(&rules).is_empty());
    sim.engines.get_mut(&lost).unwrap().state = EngineState::Lost(Duration::from_secs(11));
    sim.settle(&rules);
    assert_eq!(sim.ready(3, 'a'), 3);
    // The engine comes back with its version, which makes one replica too many.
    sim.engines.get_mut(&lost).unwrap().state = EngineState::Open;
    let before = sim.orders;
    sim.settle(&rules);
    assert_eq!((sim.ready(3, 'a'), sim.orders - before), (3, 1));
}

#[test]
fn a_lost_data_centre_causes_no_loads() {
    let mut sim = Sim::new();
    let rules = rules(3, &[(3, 'a', 3), (3, 'b', 3)]);
    sim.settle(&rules);
    let before = sim.orders;
    for number in 0..ENGINES {
        let engine = sim.engines.get_mut(&target(number)).unwrap();
        engine.state = EngineState::Lost(Duration::from_secs(100));
    }
    sim.settle(&rules);
    assert_eq!(sim.orders, before);
}

#[test]
fn rules_without_placements_cause_no_orders() {
    let mut sim = Sim::new();
    sim.settle(&rules(3, &[(3, 'a', 3)]));
    let before = sim.orders;
    sim.settle(&rules(7, &[]));
    assert_eq!(sim.orders, before);
}

/// Random event; the first number is the engine.
#[derive(Debug, Clone)]
enum Event {
    End(u32),
    Lose(u32, u64),
    Return(u32, bool),
    Drain(u32, u64),
    Edit(u32, Vec<(u32, char, u32)>),
    Pass,
}

fn event() -> impl Strategy<Value = Event> {
    let number = 0..2 * ENGINES;
    let place = (1..4u32, prop_oneof![Just('a'), Just('b')], 0..=ENGINES);
    prop_oneof![
        6 => number.clone().prop_map(Event::End),
        1 => (number.clone(), 0..30u64).prop_map(|(n, age)| Event::Lose(n, age)),
        2 => (number.clone(), any::<bool>()).prop_map(|(n, empty)| Event::Return(n, empty)),
        1 => (number, 0..30u64).prop_map(|(n, age)| Event::Drain(n, age)),
        1 => (1..4u32, prop::collection::vec(place, 0..4)).prop_map(|(used, places)| {
            let mut known = BTreeMap::new();
            for (version, centre, replicas) in places {
                known.insert((version, centre), replicas);
            }
            let list = known.into_iter().map(|((v, c), r)| (v, c, r)).collect();
            Event::Edit(used, list)
        }),
        6 => Just(Event::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn it_settles_and_keeps_its_bounds(events in prop::collection::vec(event(), 1..60)) {
        let mut sim = Sim::new();
        let mut now = (1, Vec::new());
        let mut declared = rules(1, &[]);
        for event in events {
            match event {
                Event::End(number) => sim.end_orders(&target(number)),
                Event::Lose(number, age) => {
                    let state = EngineState::Lost(Duration::from_secs(age));
                    sim.engines.get_mut(&target(number)).unwrap().state = state;
                }
                Event::Drain(number, age) => {
                    let state = EngineState::Draining(Duration::from_secs(age));
                    sim.engines.get_mut(&target(number)).unwrap().state = state;
                }
                Event::Return(number, empty) => {
                    let engine = sim.engines.get_mut(&target(number)).unwrap();
                    engine.state = EngineState::Open;
                    if empty {
                        engine.builds.clear();
                        engine.open.clear();
                    }
                }
                Event::Edit(used, places) => {
                    declared = rules(used, &places);
                    now = (used, places);
                }
                Event::Pass => check_pass(&mut sim, &declared, &now.1, now.0),
            }
        }
        for engine in sim.engines.values_mut() {
            engine.state = EngineState::Open;
        }
        sim.settle(&declared);
        for (version, centre, replicas) in &now.1 {
            prop_assert!(sim.ready(*version, *centre) <= *replicas as usize);
        }
        let before = sim.orders;
        sim.settle(&declared);
        prop_assert_eq!(sim.orders, before);
    }
}

/// Runs a pass and checks that it unloads no version that is in use or below its declared replicas.
fn check_pass(sim: &mut Sim, declared: &Rules, places: &[(u32, char, u32)], used: u32) {
    let mut before = BTreeMap::new();
    for version in 1..4 {
        for centre in ['a', 'b'] {
            before.insert((version, centre), sim.ready(version, centre));
        }
    }
    let mut unloads: BTreeMap<(u32, char), usize> = BTreeMap::new();
    for decision in sim.pass(declared) {
        let EngineAction::Unload(build) = decision.action else {
            continue;
        };
        let centre = sim.engines[&decision.target]
            .data_centre
            .as_str()
            .chars()
            .next()
            .unwrap();
        *unloads.entry((build.version.0, centre)).or_default() += 1;
    }
    for (key, count) in unloads {
        let place = places.iter().find(|(v, c, _)| (*v, *c) == key);
        let floor = match place {
            Some((_, _, replicas)) => *replicas as usize,
            None => {
                assert_ne!(key.0, used, "a version in use was unloaded");
                0
            }
        };
        assert!(
            before[&key] - count >= floor,
            "unloaded below what is declared"
        );
    }
}
