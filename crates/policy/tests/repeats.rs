//! One request that crashes each target that begins to run it, and that its caller sends again and
//! again, through the dispatcher in virtual time.

mod loads;

use std::collections::{BTreeMap, HashMap};

use clem_policy::dispatch::{
    CrashParts, CrashReport, Dispatcher, GrantOutcome, HeldGrant, SlotRequest, TargetSlots, Ticket,
    Verdict,
};
use clem_types::{PartId, Time};
use loads::{SERVICE, want};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Targets of the service, one in each data centre.
const TARGETS: usize = 3;
/// Step of virtual time, in milliseconds.
const STEP: u64 = 10;
/// From a request to the crash that it causes, in milliseconds.
const BEGIN: u64 = 60;
/// From a sound request to its whole answer, in milliseconds.
const WHOLE: u64 = 30;
/// How long a target that crashed is down, in milliseconds.
const DOWN: u64 = 2500;
/// Crashes after which the request must be stopped, by the platform's rules.
const CRASHES: usize = 3;
/// Times that the request may still reach targets after that.
const LATER: usize = 3;

struct Running {
    target: String,
    since: u64,
    bad: bool,
    parts: Vec<PartId>,
}

/// A small service and its callers.
struct Fleet {
    dispatcher: Dispatcher,
    /// What the holder of the slots has seen itself.
    holder: CrashParts,
    rng: StdRng,
    now: u64,
    tickets: u64,
    asked: HashMap<Ticket, (bool, Vec<PartId>)>,
    running: BTreeMap<Ticket, Running>,
    /// When each target that crashed is up again.
    down: HashMap<String, u64>,
    reached: usize,
    sound_asked: usize,
    sound_harmful: usize,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        println!("SEED repeats {seed}");
        let mut fleet = Self {
            dispatcher: Dispatcher::default(),
            holder: CrashParts::default(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            tickets: 0,
            asked: HashMap::new(),
            running: BTreeMap::new(),
            down: HashMap::new(),
            reached: 0,
            sound_asked: 0,
            sound_harmful: 0,
        };
        fleet.list_targets();
        fleet
    }

    fn at(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn list_targets(&mut self) {
        let mut list = Vec::new();
        for number in 0..TARGETS {
            list.push(TargetSlots {
                target: format!("t{number}"),
                data_centre: format!("dc{number}"),
                slots: 6,
                version: None,
            });
        }
        let at = self.at();
        self.dispatcher.set_targets(at, SERVICE, &list);
    }

    /// The slots that the holders know to hold.
    fn held(&self) -> Vec<HeldGrant> {
        let mut held = Vec::new();
        for (ticket, running) in &self.running {
            held.push(HeldGrant {
                ticket: *ticket,
                service: SERVICE.to_owned(),
                target: running.target.clone(),
                batch: false,
                parts: running.parts.clone(),
            });
        }
        held
    }

    /// A new leader knows what its followers report.
    fn change_leader(&mut self) {
        let at = self.at();
        let blocked = self.dispatcher.blocked_parts(at);
        let crashes = self.holder.reports(at, 1);
        self.dispatcher = Dispatcher::default();
        self.list_targets();
        self.dispatcher.restore_blocked(at, &blocked);
        self.dispatcher.note_crashes(at, &crashes);
        let held = self.held();
        self.dispatcher.report(at, "holder", &held);
    }

    fn ask(&mut self, parts: Vec<PartId>, bad: bool) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.sound_asked += usize::from(!bad);
        let request = SlotRequest {
            holder: "holder".to_owned(),
            parts: parts.clone(),
            ..want(ticket.0)
        };
        self.asked.insert(ticket, (bad, parts));
        let at = self.at();
        self.dispatcher.request_slot(at, request);
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool(per_s * STEP as f64 / 1000.0)
    }

    fn crash(&mut self, target: &str) {
        self.down.insert(target.to_owned(), self.now + DOWN);
        let at = self.at();
        let hit: Vec<Ticket> = self
            .running
            .iter()
            .filter(|(_, running)| running.target == target)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in hit {
            let Some(running) = self.running.remove(&ticket) else {
                continue;
            };
            let report = CrashReport {
                ticket,
                target: running.target,
                parts: running.parts,
                age_ms: 0,
            };
            self.holder.note_crash(at, &report);
            self.dispatcher.release(at, ticket, GrantOutcome::Crashed);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let at = self.at();
        let held = self.held();
        self.dispatcher.report(at, "holder", &held);
        self.dispatcher.tick(at);
        for (ticket, verdict) in self.dispatcher.take_decided() {
            let Some((bad, parts)) = self.asked.remove(&ticket) else {
                continue;
            };
            match verdict {
                Verdict::Granted { target, .. } => {
                    if self.down.get(&target).is_some_and(|up| self.now < *up) {
                        self.dispatcher
                            .release(at, ticket, GrantOutcome::Unreachable);
                        continue;
                    }
                    self.reached += usize::from(bad);
                    let since = self.now;
                    self.running.insert(
                        ticket,
                        Running {
                            target,
                            since,
                            bad,
                            parts,
                        },
                    );
                }
                Verdict::Harmful => self.sound_harmful += usize::from(!bad),
                Verdict::Busy { .. }
                | Verdict::OverRate { .. }
                | Verdict::NoTarget
                | Verdict::Unresumable => {}
            }
        }
        let due: Vec<Ticket> = self
            .running
            .iter()
            .filter(|(_, running)| {
                let span = if running.bad { BEGIN } else { WHOLE };
                self.now >= running.since + span
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(running) = self.running.get(&ticket) else {
                continue;
            };
            if running.bad {
                let target = running.target.clone();
                self.crash(&target);
                continue;
            }
            self.running.remove(&ticket);
            self.dispatcher.release(at, ticket, GrantOutcome::Answered);
        }
    }

    /// Runs for some seconds with sound requests, no two alike, and the bad one `per_s` times a
    /// second.
    fn run(&mut self, seconds: u64, per_s: f64) {
        for _ in 0..seconds * 1000 / STEP {
            if self.happens(20.0) {
                let sound = PartId::of_whole(&[b"sound", &self.tickets.to_le_bytes()]);
                self.ask(vec![sound], false);
            }
            if self.happens(per_s) {
                self.ask(vec![PartId::of_whole(&[b"bad"])], true);
            }
            self.step();
        }
    }

    fn assert_stopped(&self, case: &str) {
        assert!(
            self.reached <= CRASHES + LATER,
            "{case}: the request reached targets {} times",
            self.reached
        );
    }
}

const SEEDS: std::ops::Range<u64> = 0..20;

#[test]
fn a_request_that_crashes_targets_reaches_few_in_a_long_time() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(300, 5.0);
        fleet.assert_stopped(&format!("seed {seed}"));
        assert_eq!(fleet.sound_harmful, 0, "seed {seed}");
    }
}

#[test]
fn a_request_that_comes_seldom_and_crashes_targets_reaches_few() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(600, 0.1);
        fleet.assert_stopped(&format!("seed {seed}"));
    }
}

#[test]
fn a_new_leader_between_two_crashes_does_not_count_from_zero() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        let mut crashes = 0;
        for _ in 0..60_000 / STEP {
            if fleet.happens(5.0) {
                fleet.ask(vec![PartId::of_whole(&[b"bad"])], true);
            }
            fleet.step();
            if fleet.reached > crashes {
                crashes = fleet.reached;
                // The change comes after the crash.
                fleet.run(1, 0.0);
                fleet.change_leader();
            }
        }
        fleet.assert_stopped(&format!("seed {seed}"));
    }
}

#[test]
fn trials_of_a_blocked_request_end_also_if_their_crashes_are_not_recognised() {
    for outcome in [GrantOutcome::Broken, GrantOutcome::Silent] {
        let mut dispatcher = Dispatcher::default();
        let target = |number: u64| TargetSlots {
            target: format!("t{number}"),
            data_centre: "dc".to_owned(),
            slots: 6,
            version: None,
        };
        let mut reached = 0;
        for number in 0..1200 {
            let now = Time::from_millis(number * 500);
            let fresh = [target(number)];
            dispatcher.set_targets(now, SERVICE, &fresh);
            let request = SlotRequest {
                parts: vec![PartId::of_whole(&[b"bad"])],
                ..want(number)
            };
            dispatcher.request_slot(now, request);
            for (ticket, verdict) in dispatcher.take_decided() {
                if let Verdict::Granted { .. } = verdict {
                    reached += 1;
                    let ended = if reached <= 4 {
                        GrantOutcome::Crashed
                    } else {
                        outcome
                    };
                    dispatcher.release(now, ticket, ended);
                }
            }
        }
        assert!(reached <= CRASHES + LATER, "{outcome:?}: {reached} times");
    }
}
