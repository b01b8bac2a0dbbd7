//! The target list on its way to processes: what it costs, and that all of them end up with the same list.

mod support;

use std::collections::BTreeMap;

use clem_edge::{TargetState, TargetVm};
use clem_hub::TargetList;
use clem_wire::targets::{TargetUpdate, TargetsDigest};
use rand::{Rng, SeedableRng, rngs::StdRng};
use support::target;

const FOLLOWERS: usize = 90;
const TARGETS: usize = 300;

/// The list that a process holds.
#[derive(Debug, Default)]
struct Follower {
    targets: BTreeMap<String, TargetVm>,
    digest: TargetsDigest,
}

impl Follower {
    /// Polls the leader, and returns how many entries it was sent.
    fn poll(&mut self, leader: &mut TargetList) -> usize {
        match leader.update(self.digest) {
            None => 0,
            Some(TargetUpdate::Whole(list)) => {
                let targets = list.targets().expect("it is read");
                let sent = targets.len();
                let pairs = targets
                    .into_iter()
                    .map(|target| (target.id.clone(), target));
                self.targets = pairs.collect();
                self.digest = TargetsDigest::of(self.targets.values());
                assert_eq!(self.digest, list.digest);
                sent
            }
            Some(TargetUpdate::Changes(changes)) => {
                let sent = changes.changed.len() + changes.removed.len();
                assert!(changes.apply(&mut self.targets, &mut self.digest));
                sent
            }
        }
    }

    fn list(&self) -> Vec<TargetVm> {
        self.targets.values().cloned().collect()
    }
}

/// With the whole list at each change, 3,000 targets and 300 processes filled the leader's link, and
/// leaving targets got requests for seconds.
#[test]
fn a_rollout_sends_each_process_each_change_once() {
    let mut leader = TargetList::default();
    let mut targets: Vec<TargetVm> = (0..TARGETS).map(target).collect();
    leader.replace(targets.clone());
    let mut followers: Vec<Follower> = (0..FOLLOWERS).map(|_| Follower::default()).collect();
    for follower in &mut followers {
        assert_eq!(follower.poll(&mut leader), TARGETS);
    }
    let mut sent = 0;
    for place in 0..TARGETS {
        targets[place].state = TargetState::Draining;
        assert!(leader.replace(targets.clone()));
        for follower in &mut followers {
            sent += follower.poll(&mut leader);
        }
    }
    assert_eq!(sent, TARGETS * FOLLOWERS);
    for follower in &followers {
        assert_eq!(Some(follower.list()), leader.whole());
    }
}

#[test]
fn a_new_leader_with_the_same_list_sends_nothing() {
    let targets: Vec<TargetVm> = (0..TARGETS).map(target).collect();
    let mut former = TargetList::default();
    former.replace(targets.clone());
    let mut follower = Follower::default();
    follower.poll(&mut former);
    let mut leader = TargetList::default();
    assert_eq!(follower.poll(&mut leader), 0, "the list was not read yet");
    leader.replace(targets.into_iter().rev().collect());
    assert_eq!(follower.poll(&mut leader), 0);
}

#[test]
fn an_unchanged_list_is_no_new_version() {
    let mut leader = TargetList::default();
    let targets: Vec<TargetVm> = (0..TARGETS).map(target).collect();
    assert!(
        leader.replace(Vec::new()),
        "the first list, though it is empty"
    );
    assert!(leader.replace(targets.clone()));
    assert!(!leader.replace(targets));
    assert_eq!(leader.version(), 2);
}

/// Lists that change at random, leaders that change, and processes that miss some of it all, or read the
/// list by themselves.
#[test]
fn processes_that_miss_changes_catch_up() {
    let seed = 20_261_204;
    println!("SEED targets {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut targets: BTreeMap<usize, TargetVm> = BTreeMap::new();
    let mut leader = TargetList::default();
    let mut followers: Vec<Follower> = (0..8).map(|_| Follower::default()).collect();
    for _ in 0..3000 {
        for _ in 0..rng.random_range(0..4) {
            let number = rng.random_range(0..40);
            match rng.random_range(0..3) {
                0 => drop(targets.remove(&number)),
                1 => drop(targets.insert(number, target(number))),
                _ => {
                    let known = targets.entry(number).or_insert_with(|| target(number));
                    known.started = rng.random_range(0..3);
                }
            }
        }
        if rng.random_bool(0.02) {
            leader = TargetList::default();
        }
        leader.replace(targets.values().cloned().collect());
        for follower in &mut followers {
            if rng.random_bool(0.01) {
                follower.targets.clear();
                follower.digest = TargetsDigest::default();
            }
            if rng.random_bool(0.4) {
                follower.poll(&mut leader);
                assert_eq!(Some(follower.list()), leader.whole());
            }
        }
    }
}
