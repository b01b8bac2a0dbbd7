//! Seeded schedules of commands: what must hold after each of them.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use clem_state::{ApplyOutcome, ApplyRules, Command, Outcome, apply, rules};
use clem_store::MemStore;
use clem_types::{BatchId, RulesVersion};
use clem_wire::batch::{AttemptEnd, BatchState, ItemOutcome, LeaseRef, LeasedItem, Taken};
use proptest::{prelude::*, test_runner::RngSeed};

use common::{World, done, item};

/// One step of agents, a customer or the clock.
#[derive(Debug, Clone)]
enum Step {
    Submit { items: u32, once: bool },
    Lease { agent: u64, room: u32, twice: bool },
    Finish { which: usize, end: u8, twice: bool },
    Renew { which: usize },
    Cancel { which: usize },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (1..12u32, any::<bool>()).prop_map(|(items, once)| Step::Submit { items, once }),
        4 => (1..4u64, 1..6u32, any::<bool>())
            .prop_map(|(agent, room, twice)| Step::Lease { agent, room, twice }),
        6 => (any::<usize>(), 0..8u8, any::<bool>())
            .prop_map(|(which, end, twice)| Step::Finish { which, end, twice }),
        2 => any::<usize>().prop_map(|which| Step::Renew { which }),
        1 => any::<usize>().prop_map(|which| Step::Cancel { which }),
        2 => (1..1500u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// What the schedule itself remembers, to judge the state by.
#[derive(Debug, Default)]
struct Judge {
    world: World,
    batches: Vec<(BatchId, u32)>,
    leases: Vec<(u64, LeasedItem)>,
    /// Results that were taken, by item.
    taken: BTreeMap<(BatchId, u32), LeaseRef>,
    /// Dispatches of items that may not be repeated.
    dispatched: BTreeSet<(BatchId, u32)>,
    cancelled: BTreeSet<BatchId>,
}

impl Judge {
    fn run(&mut self, step: &Step) {
        match step {
            Step::Submit { items, once } => self.submit(*items, *once),
            Step::Lease { agent, room, twice } => self.lease(*agent, *room, *twice),
            Step::Finish { which, end, twice } => self.finish(*which, *end, *twice),
            Step::Renew { which } => self.renew(*which),
            Step::Cancel { which } => self.cancel(*which),
            Step::Wait { millis } => self.world.wait(*millis),
        }
    }

    fn submit(&mut self, count: u32, once: bool) {
        let number = self.batches.len() as u128 + 1;
        let mut list = Vec::new();
        for index in 0..count {
            let mut one = item(index);
            one.idempotent = !(once && index % 2 == 0);
            list.push(one);
        }
        let batch = self.world.submit(number, "totara", None, list);
        self.batches.push((batch, count));
    }

    fn lease(&mut self, agent: u64, room: u32, twice: bool) {
        let call = self.world.lease_call(agent, room, Vec::new());
        let reply = self.world.send_lease(&call);
        if twice {
            assert_eq!(
                self.world.send_lease(&call),
                reply,
                "a doubled call leases once"
            );
        }
        for leased in reply.items {
            let place = leased.lease.item;
            assert!(
                !self.cancelled.contains(&place.batch),
                "leased after a cancel"
            );
            assert!(
                !self.taken.contains_key(&(place.batch, place.item.0)),
                "leased after its end"
            );
            if !leased.content.idempotent {
                let first = self.dispatched.insert((place.batch, place.item.0));
                assert!(first, "dispatched twice");
            }
            self.leases.push((agent, leased));
        }
    }

    fn finish(&mut self, which: usize, end: u8, twice: bool) {
        if self.leases.is_empty() {
            return;
        }
        let (agent, leased) = self.leases[which % self.leases.len()].clone();
        let end = match end {
            0 => AttemptEnd::Lost { crashed: false },
            1 => AttemptEnd::Lost { crashed: true },
            // An agent gives back only what it hasn't started, or what may be repeated.
            2 if leased.content.idempotent => AttemptEnd::Returned,
            _ => done(&format!("{:?}", leased.lease)),
        };
        let reply = self.world.finish(agent, leased.lease, end.clone());
        if twice {
            assert_eq!(
                self.world.finish(agent, leased.lease, end.clone()),
                Taken::Stale
            );
        }
        if reply == Taken::Yes && matches!(end, AttemptEnd::Done { .. }) {
            let place = leased.lease.item;
            let first = self.taken.insert((place.batch, place.item.0), leased.lease);
            assert!(first.is_none(), "two results were taken");
        }
    }

    fn renew(&mut self, which: usize) {
        if self.leases.is_empty() {
            return;
        }
        let (agent, leased) = self.leases[which % self.leases.len()].clone();
        let call = self.world.lease_call(agent, 0, vec![leased.lease]);
        let stop = self.world.send_lease(&call).stop;
        if self.cancelled.contains(&leased.lease.item.batch) {
            assert_eq!(
                stop,
                vec![leased.lease],
                "an item of a cancelled batch must stop"
            );
        }
    }

    fn cancel(&mut self, which: usize) {
        if self.batches.is_empty() {
            return;
        }
        let (batch, _) = self.batches[which % self.batches.len()];
        self.world.cancel(batch, "totara");
        self.cancelled.insert(batch);
    }

    /// What must hold after each step.
    fn check(&self) {
        for (batch, items) in &self.batches {
            let Some(view) = self.world.view(*batch, "totara") else {
                continue;
            };
            let counts = view.counts;
            let ended =
                counts.done + counts.failed + counts.poisoned + counts.cancelled + counts.unknown;
            assert!(ended + view.running <= *items);
            let results = self.world.results(*batch, "totara");
            let mut seen = BTreeSet::new();
            let mut finished = 0;
            for result in &results {
                assert!(seen.insert(result.item), "two results of one item");
                let ItemOutcome::Done { body, .. } = &result.outcome else {
                    continue;
                };
                finished += 1;
                let lease = self.taken[&(*batch, result.item.0)];
                assert_eq!(*body, format!("{lease:?}"), "the first result stays");
            }
            assert_eq!(finished, counts.done);
            if view.state == BatchState::Done || view.state == BatchState::Cancelled {
                assert_eq!(results.len(), *items as usize, "each item has its outcome");
                assert_eq!(ended, *items);
            }
        }
    }

    /// Lets everything come to its end: every item must have an outcome then.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.world.wait(1);
            let leased = self.world.lease(9, 100);
            if leased.is_empty() {
                self.world.wait(common::LEASE_MS + 1);
            }
            for item in leased {
                let body = format!("{:?}", item.lease);
                self.world.finish(9, item.lease, done(&body));
                let place = item.lease.item;
                self.taken.insert((place.batch, place.item.0), item.lease);
            }
            let open = |(batch, _): &&(BatchId, u32)| {
                let view = self.world.view(*batch, "totara").unwrap();
                !matches!(view.state, BatchState::Done | BatchState::Cancelled)
            };
            if self.batches.iter().filter(open).count() == 0 {
                return;
            }
        }
        panic!("a batch doesn't come to its end");
    }
}

/// The same schedules in each run.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_item_has_one_final_outcome(steps in prop::collection::vec(step(), 1..80)) {
        let mut judge = Judge::default();
        for step in &steps {
            judge.run(step);
            judge.check();
        }
        judge.settle();
        judge.check();
    }

    #[test]
    fn replicas_come_to_the_same_state(steps in prop::collection::vec(step(), 1..40)) {
        let run = || {
            let mut judge = Judge::default();
            for step in &steps {
                judge.run(step);
            }
            judge.world.store
        };
        prop_assert_eq!(run(), run());
    }

    #[test]
    fn each_version_has_one_winner(
        calls in prop::collection::vec((0..30usize, 0..8u64), 1..60),
    ) {
        let mut store = MemStore::default();
        let mut answers: BTreeMap<usize, ApplyOutcome> = BTreeMap::new();
        let mut expects: BTreeMap<usize, u64> = BTreeMap::new();
        let mut winners: BTreeMap<RulesVersion, usize> = BTreeMap::new();
        let mut last = RulesVersion(0);
        for (index, (id, expect)) in (1..).zip(calls) {
            // A command sent again is the same command.
            let expect = *expects.entry(id).or_insert(expect);
            let command = Command::Apply(ApplyRules {
                command: format!("c{id}").parse().unwrap(),
                expect: RulesVersion(expect),
                text: format!("file of {id}"),
            });
            let Outcome::Apply(outcome) = apply(&mut store, index, &command).unwrap() else {
                panic!("another outcome");
            };
            let first = *answers.entry(id).or_insert(outcome);
            prop_assert_eq!(first, outcome);
            if let ApplyOutcome::Accepted(version) = outcome {
                prop_assert_eq!(version, RulesVersion(expect + 1));
                prop_assert_eq!(*winners.entry(version).or_insert(id), id);
            }
            let file = rules::file(&store).unwrap();
            prop_assert!(file.version >= last);
            last = file.version;
            if let Some(winner) = winners.get(&last) {
                prop_assert_eq!(file.text, format!("file of {winner}"));
            }
        }
    }
}
