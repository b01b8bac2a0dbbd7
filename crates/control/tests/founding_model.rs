//! Random schedules of founders that answer, found, join, restart and lose their disks: at most one
//! group ever gets a quorum.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use clem_control::replica::founding::{FounderDisk, MAJORITY_DELAY, Round, may_join, voters};
use clem_log::{Member, MemberId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of schedules of each kind.
const SCHEDULES: u64 = 15_000;
/// Number of events in a schedule.
const EVENTS: usize = 150;

/// The port of each founder.
const PORTS: [u16; 5] = [1, 2, 3, 4, 5];

/// Index of a group in [`World::groups`].
type Group = usize;

/// What a founder's process has in memory.
#[derive(Clone, Default)]
struct Process {
    /// Started before the hub named the founders.
    early: bool,
    /// Once it knows the founders: whether its disk counts as original.
    original: Option<bool>,
    /// The answers of the round of queries that it is in.
    round: Option<BTreeMap<usize, Answer>>,
}

#[derive(Clone, Copy)]
struct Answer {
    disk: FounderDisk,
    group: Option<Group>,
    has_leader: bool,
}

struct Founder {
    process: Process,
    disk: MemberId,
    group: Option<Group>,
}

struct World {
    rng: ChaCha8Rng,
    named: bool,
    founders: Vec<Founder>,
    /// The voters with which each group starts.
    groups: Vec<Vec<Member>>,
    /// Groups that ever had a quorum.
    served: BTreeSet<Group>,
    last_id: u64,
    losses: usize,
    rules: Rules,
}

/// What the schedules may contain.
#[derive(Clone, Copy)]
struct Rules {
    /// Whether a group may be founded by the answers of all although few disks are original.
    by_all: bool,
    /// How many disks may be lost.
    losses: usize,
}

fn address(founder: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], PORTS[founder]))
}

impl World {
    fn new(seed: u64, founders: usize, rules: Rules) -> Self {
        let founder = |index: usize| Founder {
            process: Process {
                early: true,
                ..Process::default()
            },
            disk: MemberId(index as u64),
            group: None,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            named: false,
            founders: (0..founders).map(founder).collect(),
            groups: Vec::new(),
            served: BTreeSet::new(),
            last_id: founders as u64,
            losses: 0,
            rules,
        }
    }

    fn new_id(&mut self) -> MemberId {
        self.last_id += 1;
        MemberId(self.last_id)
    }

    /// Whether the voters whose disks are in a group are a quorum.
    fn has_quorum(&self, group: Group) -> bool {
        let voters = &self.groups[group];
        let present = voters.iter().filter(|voter| {
            let mut founders = self.founders.iter();
            founders.any(|f| f.disk == voter.id && f.group == Some(group))
        });
        present.count() > voters.len() / 2
    }

    fn event(&mut self) {
        let one = self.rng.random_range(0..self.founders.len());
        let other = self.rng.random_range(0..self.founders.len());
        match self.rng.random_range(0..100_u32) {
            0..5 => self.named = true,
            5..25 => self.learn(one),
            25..60 => self.answer(one, other),
            60..75 => self.answer_all(one),
            75..95 => self.end_round(one),
            95..97 => self.restart(one),
            97.. => self.lose_disk(one),
        }
        for group in 0..self.groups.len() {
            if self.has_quorum(group) {
                self.served.insert(group);
            }
        }
    }

    /// Only a process that started before the naming may have heard the leader that names the
    /// founders say that there are none.
    fn learn(&mut self, one: usize) {
        let same_leader = self.rng.random_bool(0.9);
        let process = &mut self.founders[one].process;
        if self.named && process.original.is_none() {
            process.original = Some(process.early && same_leader);
        }
    }

    /// The answer reaches a round that may have begun long ago, and may be used long after.
    fn answer(&mut self, asking: usize, asked: usize) {
        let elected = self.rng.random_bool(0.9);
        let from = &self.founders[asked];
        let Some(original) = from.process.original else {
            return;
        };
        let answer = Answer {
            disk: FounderDisk {
                member: from.disk,
                predates_group: original,
            },
            group: from.group,
            has_leader: elected && from.group.is_some_and(|g| self.served.contains(&g)),
        };
        let to = &mut self.founders[asking];
        if asking == asked || to.process.original.is_none() || to.group.is_some() {
            return;
        }
        let round = to.process.round.get_or_insert_default();
        round.insert(asked, answer);
    }

    fn answer_all(&mut self, asking: usize) {
        for asked in 0..self.founders.len() {
            if self.rng.random_bool(0.9) {
                self.answer(asking, asked);
            }
        }
    }

    fn end_round(&mut self, one: usize) {
        let founder = &mut self.founders[one];
        let (Some(original), None) = (founder.process.original, founder.group) else {
            return;
        };
        let answers = founder.process.round.take().unwrap_or_default();
        let own = FounderDisk {
            member: founder.disk,
            predates_group: original,
        };
        if answers.values().any(|answer| answer.group.is_some()) {
            let mut found = answers
                .values()
                .filter_map(|a| Some((a.group?, a.has_leader)));
            let joined = found.find(|(group, has_leader)| {
                let is_member = self.groups[*group].iter().any(|v| v.id == own.member);
                may_join(is_member, *has_leader)
            });
            self.founders[one].group = joined.map(|(group, _)| group);
            return;
        }
        let complete = answers.len() + 1 == self.founders.len();
        let answered = answers.iter().map(|(i, answer)| (address(*i), answer.disk));
        let mut known: BTreeMap<SocketAddr, FounderDisk> = answered.collect();
        known.insert(address(one), own);
        let founders: Vec<SocketAddr> = (0..self.founders.len()).map(address).collect();
        let by_all = complete && self.rules.by_all;
        let silence = (!by_all).then(|| {
            let waited = self.rng.random_bool(0.7);
            if waited {
                MAJORITY_DELAY
            } else {
                Duration::ZERO
            }
        });
        let phantoms: Vec<MemberId> = founders.iter().map(|_| self.new_id()).collect();
        let next = Cell::new(0);
        let round = Round {
            own: address(one),
            founders: &founders,
            known,
            silence,
        };
        let group = voters(round, || phantoms[next.replace(next.get() + 1)]);
        let Some(group) = group else { return };
        self.groups.push(group);
        self.founders[one].group = Some(self.groups.len() - 1);
    }

    fn restart(&mut self, one: usize) {
        let early = !self.named;
        self.founders[one].process = Process {
            early,
            ..Process::default()
        };
    }

    fn lose_disk(&mut self, one: usize) {
        if self.losses == self.rules.losses {
            return;
        }
        self.losses += 1;
        let disk = self.new_id();
        self.restart(one);
        self.founders[one].disk = disk;
        self.founders[one].group = None;
        // A round is shorter than such a restart. Majorities don't rely on that.
        if self.rules.by_all {
            for founder in &mut self.founders {
                founder.process.round = None;
            }
        }
    }
}

/// Runs schedules; returns how many founded a group, two groups, and a group with a quorum.
fn run(founders: usize, rules: Rules) -> [usize; 3] {
    let mut counts = [0; 3];
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed, founders, rules);
        for _ in 0..EVENTS {
            world.event();
            let served = world.served.len();
            assert!(
                served <= 1,
                "{founders} founders, seed {seed}: {served} groups"
            );
        }
        counts[0] += usize::from(!world.groups.is_empty());
        counts[1] += usize::from(world.groups.len() > 1);
        counts[2] += usize::from(!world.served.is_empty());
    }
    println!("{founders} founders: founded, several, served {counts:?} of {SCHEDULES}");
    counts
}

fn check(rules: Rules) {
    for founders in [3, 5] {
        let [_, several, served] = run(founders, rules);
        assert!(several > 0, "no schedule founds two groups");
        assert!(served > 0, "no schedule founds a group that serves");
    }
}

/// Whatever disks are lost, and however old the answers are.
#[test]
fn majorities_never_found_two_groups_that_get_quorums() {
    check(Rules {
        by_all: false,
        losses: usize::MAX,
    });
}

#[test]
fn answers_of_all_never_found_a_second_group_while_few_disks_are_lost() {
    for (founders, losses) in [(3, 1), (5, 2)] {
        let rules = Rules {
            by_all: true,
            losses,
        };
        let [_, several, served] = run(founders, rules);
        assert!(several > 0 && served > 0, "schedules without groups");
    }
}
