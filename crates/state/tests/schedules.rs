//! Property tests: invariants of the state machine under random, seeded command schedules.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use clem_state::{ApplyOutcome, ApplyRules, Command, Outcome, apply, rules};
use clem_store::MemStore;
use clem_types::{BatchId, Version};
use clem_wire::batch::{AttemptEnd, BatchState, ItemOutcome, LeaseRef, LeasedItem, Recorded};
use proptest::{prelude::*, test_runner::RngSeed};

use common::{Harness, done, item};

/// One action of an agent, a customer or the clock.
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

/// Reference model: what the schedule has done, to compare the state with.
#[derive(Debug, Default)]
struct Model {
    harness: Harness,
    batches: Vec<(BatchId, u32)>,
    leases: Vec<(u64, LeasedItem)>,
    /// The leases whose results were recorded, by item.
    taken: BTreeMap<(BatchId, u32), LeaseRef>,
    /// Non-idempotent items that have been leased.
    dispatched: BTreeSet<(BatchId, u32)>,
    cancelled: BTreeSet<BatchId>,
}

impl Model {
    fn run(&mut self, step: &Step) {
        match step {
            Step::Submit { items, once } => self.submit(*items, *once),
            Step::Lease { agent, room, twice } => self.lease(*agent, *room, *twice),
            Step::Finish { which, end, twice } => self.finish(*which, *end, *twice),
            Step::Renew { which } => self.renew(*which),
            Step::Cancel { which } => self.cancel(*which),
            Step::Wait { millis } => self.harness.wait(*millis),
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
        let batch = self.harness.submit(number, "totara", None, list);
        self.batches.push((batch, count));
    }

    fn lease(&mut self, agent: u64, room: u32, twice: bool) {
        let call = self.harness.lease_call(agent, room, Vec::new());
        let reply = self.harness.send_lease(&call);
        if twice {
            assert_eq!(
                self.harness.send_lease(&call),
                reply,
                "a resent call leases once"
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
                "leased after its result was recorded"
            );
            if !leased.content.idempotent {
                let first = self.dispatched.insert((place.batch, place.item.0));
                assert!(first, "leased twice");
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
            // Agents return only items that they haven't started, or idempotent ones.
            2 if leased.content.idempotent => AttemptEnd::Returned,
            _ => done(&format!("{:?}", leased.lease)),
        };
        let reply = self.harness.finish(agent, leased.lease, end.clone());
        if twice {
            assert_eq!(
                self.harness.finish(agent, leased.lease, end.clone()),
                Recorded::Stale
            );
        }
        if reply == Recorded::Yes && matches!(end, AttemptEnd::Done { .. }) {
            let place = leased.lease.item;
            let first = self.taken.insert((place.batch, place.item.0), leased.lease);
            assert!(first.is_none(), "two results were recorded");
        }
    }

    fn renew(&mut self, which: usize) {
        if self.leases.is_empty() {
            return;
        }
        let (agent, leased) = self.leases[which % self.leases.len()].clone();
        let call = self.harness.lease_call(agent, 0, vec![leased.lease]);
        let stop = self.harness.send_lease(&call).stop;
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
        self.harness.cancel(batch, "totara");
        self.cancelled.insert(batch);
    }

    /// Checks the invariants that hold after every step.
    fn check(&self) {
        for (batch, items) in &self.batches {
            let Some(view) = self.harness.view(*batch, "totara") else {
                continue;
            };
            let counts = view.counts;
            let ended =
                counts.done + counts.failed + counts.poisoned + counts.cancelled + counts.unknown;
            assert!(ended + view.running <= *items);
            let results = self.harness.results(*batch, "totara");
            let mut seen = BTreeSet::new();
            let mut finished = 0;
            for result in &results {
                assert!(seen.insert(result.item), "two results for one item");
                let ItemOutcome::Done { body, .. } = &result.outcome else {
                    continue;
                };
                finished += 1;
                let lease = self.taken[&(*batch, result.item.0)];
                assert_eq!(*body, format!("{lease:?}"), "not the recorded result");
            }
            assert_eq!(finished, counts.done);
            if view.state == BatchState::Done || view.state == BatchState::Cancelled {
                assert_eq!(results.len(), *items as usize, "an item has no outcome");
                assert_eq!(ended, *items);
            }
        }
    }

    /// Leases and finishes items until every batch is complete; panics if that takes too long.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.harness.wait(1);
            let leased = self.harness.lease(9, 100);
            if leased.is_empty() {
                self.harness.wait(common::LEASE_MS + 1);
            }
            for item in leased {
                let body = format!("{:?}", item.lease);
                self.harness.finish(9, item.lease, done(&body));
                let place = item.lease.item;
                self.taken.insert((place.batch, place.item.0), item.lease);
            }
            let open = |(batch, _): &&(BatchId, u32)| {
                let view = self.harness.view(*batch, "totara").unwrap();
                !matches!(view.state, BatchState::Done | BatchState::Cancelled)
            };
            if self.batches.iter().filter(open).count() == 0 {
                return;
            }
        }
        panic!("a batch doesn't complete");
    }
}

/// A fixed seed, so that every run tests the same schedules.
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
        let mut model = Model::default();
        for step in &steps {
            model.run(step);
            model.check();
        }
        model.settle();
        model.check();
    }

    #[test]
    fn replicas_reach_the_same_state(steps in prop::collection::vec(step(), 1..40)) {
        let run = || {
            let mut model = Model::default();
            for step in &steps {
                model.run(step);
            }
            model.harness.store
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
        let mut winners: BTreeMap<Version, usize> = BTreeMap::new();
        let mut last = Version(0);
        for (index, (id, expect)) in (1..).zip(calls) {
            // A resent command has the same content.
            let expect = *expects.entry(id).or_insert(expect);
            let command = Command::Apply(ApplyRules {
                command: format!("c{id}").parse().unwrap(),
                expect: Version(expect),
                text: format!("file of {id}"),
            });
            let Outcome::Apply(outcome) = apply(&mut store, index, &command).unwrap() else {
                panic!("unexpected outcome");
            };
            let first = *answers.entry(id).or_insert(outcome);
            prop_assert_eq!(first, outcome);
            if let ApplyOutcome::Accepted(version) = outcome {
                prop_assert_eq!(version, Version(expect + 1));
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
