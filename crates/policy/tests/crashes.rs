//! Requests that crash targets, among sound ones, through the dispatcher in virtual time.

mod loads;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clem_policy::dispatch::{
    Admission, BlockedParts, CrashParts, CrashReport, Dispatcher, GrantOutcome, SlotRequest,
    TargetSlots, Ticket, Urgency, Verdict,
};
use clem_types::{PartId, Time};
use loads::{SERVICE, want};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Targets of the service.
const TARGETS: usize = 18;
/// Step of virtual time, in milliseconds.
const STEP: u64 = 10;
/// From a request to the first output, in milliseconds; bad requests crash their target then.
const BEGIN: u64 = 60;
/// From a request to its whole answer, in milliseconds.
const WHOLE: u64 = 650;
/// How long a target that crashed is down, in milliseconds.
const DOWN: u64 = 2500;
/// Bad requests that may reach targets in all: five crashes, and three later.
const REACHED_MAX: usize = 8;
/// Pause between two requests for a slot for one item, in milliseconds.
const ITEM_PAUSE: usize = 2000;
/// How long an item may be at no target when nothing is in trouble, by the platform's rules: it looks at the
/// last 5 s of the 18 s in which items must end.
const IDLE_MAX: Duration = Duration::from_secs(18 - 5);
/// Different first parts of prompts.
const FIRSTS: u64 = 8;
/// Different second parts of prompts.
const OWNS: u64 = 300;

fn first(number: u64) -> PartId {
    PartId::of(&[b"first", &number.to_le_bytes()])
}

fn own(number: u64) -> PartId {
    PartId::of(&[b"own", &number.to_le_bytes()])
}

struct Running {
    target: String,
    since: u64,
    bad: bool,
}

/// A fleet that runs requests and crashes.
struct Fleet {
    dispatcher: Dispatcher,
    rng: StdRng,
    now: u64,
    tickets: u64,
    /// Whether each request that waits for a verdict is bad.
    asked: HashMap<Ticket, bool>,
    running: BTreeMap<Ticket, Running>,
    /// When each target that crashed is up again.
    down: HashMap<String, u64>,
    bad_reached: usize,
    sound_asked: usize,
    sound_served: usize,
    sound_rejected: usize,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        println!("SEED crash_parts {seed}");
        let mut fleet = Self {
            dispatcher: Dispatcher::default(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            tickets: 0,
            asked: HashMap::new(),
            running: BTreeMap::new(),
            down: HashMap::new(),
            bad_reached: 0,
            sound_asked: 0,
            sound_served: 0,
            sound_rejected: 0,
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
                data_centre: "a".to_owned(),
                slots: 8,
                version: None,
            });
        }
        let at = self.at();
        self.dispatcher.set_targets(at, SERVICE, &list);
    }

    /// A new leader knows what its followers report.
    fn change_leader(&mut self) {
        let at = self.at();
        let blocked = self.dispatcher.blocked_parts(at);
        self.dispatcher = Dispatcher::default();
        self.list_targets();
        self.dispatcher.restore_blocked(at, &blocked);
    }

    fn ask(&mut self, parts: Vec<PartId>, bad: bool) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        if !bad {
            self.sound_asked += 1;
        }
        let request = SlotRequest {
            parts,
            ..want(ticket.0)
        };
        self.asked.insert(ticket, bad);
        let at = self.at();
        self.dispatcher.request_slot(at, request);
    }

    /// A sound request, whose parts are drawn at random.
    fn ask_sound(&mut self) {
        let parts = vec![
            first(self.rng.random_range(0..FIRSTS)),
            own(self.rng.random_range(0..OWNS)),
        ];
        self.ask(parts, false);
    }

    /// Whether an event that comes `per_s` times a second happens in this step.
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
            let begun = self.now > running.since + BEGIN;
            let ended = if begun {
                GrantOutcome::Broken
            } else {
                GrantOutcome::Crashed
            };
            self.dispatcher.release(at, ticket, ended);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let at = self.at();
        self.dispatcher.tick(at);
        for (ticket, verdict) in self.dispatcher.take_decided() {
            let Some(bad) = self.asked.remove(&ticket) else {
                continue;
            };
            match verdict {
                Verdict::Granted { target, .. } => {
                    if self.down.get(&target).is_some_and(|up| self.now < *up) {
                        self.dispatcher
                            .release(at, ticket, GrantOutcome::Unreachable);
                        continue;
                    }
                    self.bad_reached += usize::from(bad);
                    let since = self.now;
                    self.running.insert(ticket, Running { target, since, bad });
                }
                Verdict::Harmful if bad => {}
                Verdict::Harmful => self.sound_rejected += 1,
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
            self.sound_served += 1;
            self.dispatcher.release(at, ticket, GrantOutcome::Answered);
        }
    }

    /// Runs for some seconds with sound requests, and `more` in each step.
    fn run(&mut self, seconds: u64, mut more: impl FnMut(&mut Self)) {
        for _ in 0..seconds * 1000 / STEP {
            if self.happens(50.0) {
                self.ask_sound();
            }
            more(self);
            self.step();
        }
    }

    fn assert_kept(&self, case: &str) {
        assert!(
            self.bad_reached <= REACHED_MAX,
            "{case}: {} bad requests reached targets",
            self.bad_reached
        );
        let served = self.sound_served as f64 / self.sound_asked as f64;
        assert!(served >= 0.8, "{case}: {served} of the sound were served");
    }
}

const SEEDS: std::ops::Range<u64> = 0..20;

#[test]
fn a_bad_second_part_reaches_few_targets() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        let bad = PartId::of(&[b"bad"]);
        fleet.run(90, |fleet| {
            if fleet.happens(6.0) {
                let any = first(fleet.rng.random_range(0..FIRSTS));
                fleet.ask(vec![any, bad], true);
            }
        });
        fleet.assert_kept(&format!("seed {seed}"));
    }
}

#[test]
fn a_bad_first_part_reaches_few_targets_and_the_second_parts_stay_free() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        let bad = PartId::of(&[b"bad"]);
        fleet.run(90, |fleet| {
            if fleet.happens(6.0) {
                let any = own(fleet.rng.random_range(0..OWNS));
                fleet.ask(vec![bad, any], true);
            }
        });
        fleet.assert_kept(&format!("seed {seed}"));
    }
}

#[test]
fn a_sound_part_that_came_with_the_bad_one_only_stays_free() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        let [rare, bad] = [b"rare", b"bad!"].map(|name| PartId::of(&[name]));
        fleet.run(10, |fleet| {
            if fleet.happens(6.0) {
                fleet.ask(vec![rare, bad], true);
            }
        });
        let (asked, served) = (fleet.sound_asked, fleet.sound_served);
        fleet.run(20, |fleet| {
            if fleet.happens(6.0) {
                fleet.ask(vec![rare, bad], true);
            }
            if fleet.happens(2.0) {
                let any = own(fleet.rng.random_range(0..OWNS));
                fleet.ask(vec![rare, any], false);
            }
        });
        assert_eq!(fleet.sound_rejected, 0, "seed {seed}");
        assert!(fleet.sound_served - served > (fleet.sound_asked - asked) * 8 / 10);
        fleet.assert_kept(&format!("seed {seed}"));
    }
}

#[test]
fn two_bad_parts_at_once_are_both_found() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        let bad = [b"one", b"two"].map(|name| PartId::of(&[name]));
        fleet.run(60, |fleet| {
            for part in bad {
                if fleet.happens(4.0) {
                    let any = first(fleet.rng.random_range(0..FIRSTS));
                    fleet.ask(vec![any, part], true);
                }
            }
        });
        assert!(
            fleet.bad_reached <= 2 * REACHED_MAX,
            "{}",
            fleet.bad_reached
        );
    }
}

#[test]
fn a_part_that_sound_requests_had_before_is_found() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        let part = own(7);
        fleet.run(20, |fleet| {
            if fleet.happens(6.0) {
                let any = first(fleet.rng.random_range(0..FIRSTS));
                fleet.ask(vec![any, part], false);
            }
        });
        fleet.run(60, |fleet| {
            if fleet.happens(6.0) {
                let any = first(fleet.rng.random_range(0..FIRSTS));
                fleet.ask(vec![any, part], true);
            }
        });
        fleet.assert_kept(&format!("seed {seed}"));
    }
}

#[test]
fn a_bad_part_that_comes_seldom_is_found() {
    let mut fleet = Fleet::new(1);
    let bad = PartId::of(&[b"bad"]);
    for round in 0..40 {
        fleet.ask(vec![first(round % FIRSTS), bad], true);
        fleet.run(15, |_| ());
    }
    fleet.assert_kept("one in 15 s");
}

#[test]
fn crashes_for_other_reasons_keep_no_sound_request_away_for_long() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(60, |fleet| {
            if fleet.happens(1.0) {
                let target = format!("t{}", fleet.rng.random_range(0..TARGETS));
                fleet.crash(&target);
            }
        });
        let rejected = fleet.sound_rejected as f64 / fleet.sound_asked as f64;
        assert!(rejected <= 0.005, "seed {seed}: {rejected} were rejected");
    }
}

/// Asks for a slot for one item again and again until one is granted; returns when that was.
fn until_granted(dispatcher: &mut Dispatcher, item: &SlotRequest, from: u64) -> u64 {
    for now in (from..from + 600_000).step_by(ITEM_PAUSE) {
        let request = SlotRequest {
            ticket: Ticket(now),
            ..item.clone()
        };
        dispatcher.report(Time::from_millis(now), "front", &[]);
        dispatcher.request_slot(Time::from_millis(now), request);
        let decided = dispatcher.take_decided();
        if matches!(decided[..], [(_, Verdict::Granted { .. })]) {
            return now;
        }
    }
    panic!("the item got no slot in ten minutes");
}

/// Guards against accepted items that nobody works on although targets are free: their parts were in
/// flight at crashes that they did not cause.
#[test]
fn an_item_is_tried_again_in_time_after_crashes_that_it_did_not_cause() {
    let whole = PartId::of_whole(&[b"item"]);
    let parts = [vec![first(0)], vec![whole]];
    for parts in parts {
        for failed in [
            vec![],
            vec![GrantOutcome::Crashed],
            vec![GrantOutcome::Silent; 6],
        ] {
            let case = format!("{parts:?} {failed:?}");
            let mut dispatcher = Dispatcher::default();
            let mut targets = Vec::new();
            for number in 0..TARGETS {
                targets.push(TargetSlots {
                    target: format!("t{number}"),
                    data_centre: "dc".to_owned(),
                    slots: 8,
                    version: None,
                });
            }
            dispatcher.set_targets(Time::ZERO, SERVICE, &targets);
            for number in 0..4 {
                let report = CrashReport {
                    ticket: Ticket(number),
                    target: format!("t{number}"),
                    parts: parts.clone(),
                    age_ms: 0,
                };
                dispatcher.note_crashes(Time::ZERO, &[report]);
            }
            let item = SlotRequest {
                urgency: Urgency::Batch {
                    due: Duration::from_secs(10),
                },
                parts: parts.clone(),
                ..want(0)
            };
            let mut calm = 1;
            for ended in failed {
                let granted = until_granted(&mut dispatcher, &item, calm);
                calm = granted + 400;
                dispatcher.release(Time::from_millis(calm), Ticket(granted), ended);
            }
            let granted = until_granted(&mut dispatcher, &item, calm + 1);
            let waited = Duration::from_millis(granted - calm);
            assert!(waited <= IDLE_MAX, "{case}: {waited:?}");
        }
    }
}

/// Guards against accepted items that are refused for as long as a leader leads: the holder of the only
/// request with their part that may run is gone.
#[test]
fn a_suspected_request_of_a_silent_holder_holds_up_no_other() {
    let mut dispatcher = Dispatcher::default();
    let at = Time::from_millis;
    let slots = TargetSlots {
        target: "t0".to_owned(),
        data_centre: "dc".to_owned(),
        slots: 1,
        version: None,
    };
    dispatcher.set_targets(at(0), SERVICE, &[slots]);
    let part = first(0);
    let reports = [1, 2].map(|number| CrashReport {
        ticket: Ticket(number),
        target: format!("gone-{number}"),
        parts: vec![part],
        age_ms: 0,
    });
    dispatcher.note_crashes(at(0), &reports);
    dispatcher.request_slot(at(10), want(3));
    let asked = |ticket: u64, holder: &str| SlotRequest {
        holder: holder.to_owned(),
        urgency: Urgency::Batch {
            due: Duration::from_secs(10),
        },
        queue_timeout: Duration::from_millis(1200),
        parts: vec![part],
        ..want(ticket)
    };
    dispatcher.request_slot(at(10), asked(4, "lost"));
    // The slot becomes free when the holder of the queued request has been silent for a while.
    dispatcher.release(at(800), Ticket(3), GrantOutcome::Answered);
    for now in (800..3000).step_by(20) {
        dispatcher.report(at(now), "next", &[]);
        dispatcher.tick(at(now));
    }
    dispatcher.take_decided();
    dispatcher.request_slot(at(3000), asked(5, "next"));
    let decided = dispatcher.take_decided();
    let granted = matches!(decided[..], [(Ticket(5), Verdict::Granted { .. })]);
    assert!(granted, "{decided:?}");
}

/// Guards against sound requests that a new leader refuses: each process remembers the crashes that it saw,
/// whatever sound answers other processes got since.
#[test]
fn crashes_that_a_sound_answer_refuted_do_not_count_for_a_new_leader() {
    let at = Time::from_millis;
    let part = first(0);
    let mut leader = CrashParts::default();
    let mut follower = CrashParts::default();
    for number in 0..8 {
        let now = number * 1000;
        let report = CrashReport {
            ticket: Ticket(number),
            target: format!("t{number}"),
            parts: vec![part, own(number)],
            age_ms: 0,
        };
        leader.note_crash(at(now), &report);
        follower.note_crash(at(now), &report);
        // Another process got this answer.
        leader.note_sound(at(now + 100), &[part]);
        assert!(leader.take_sound_news());
        leader.note_sound(at(now + 200), &[part]);
        assert!(!leader.take_sound_news(), "the part was cleared before");
        follower.note_sound_parts(at(now + 300), &leader.sound_parts(at(now + 300)));
    }
    let mut next = CrashParts::default();
    for report in follower.reports(at(9000), 1) {
        next.note_crash(at(9000), &report);
    }
    for ticket in [100, 101] {
        let admission = next.admit(at(9000), Ticket(ticket), Urgency::Online, &[part]);
        assert_eq!(admission, Admission::Free, "ticket {ticket}");
    }
    let again = next.admit(at(9000), Ticket(102), Urgency::Online, &[own(1)]);
    assert_eq!(
        again,
        Admission::Free,
        "one crash under a part is no suspicion"
    );
}

#[test]
fn a_new_leader_keeps_what_its_followers_know() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        let bad = PartId::of(&[b"bad"]);
        for _ in 0..4 {
            fleet.run(5, |fleet| {
                if fleet.happens(6.0) {
                    let any = first(fleet.rng.random_range(0..FIRSTS));
                    fleet.ask(vec![any, bad], true);
                }
            });
            fleet.change_leader();
        }
        fleet.assert_kept(&format!("seed {seed}"));
    }
}

#[test]
fn a_part_that_no_longer_crashes_targets_is_freed_by_a_trial() {
    let mut fleet = Fleet::new(3);
    let part = PartId::of(&[b"mended"]);
    let ask = |bad: bool| {
        move |fleet: &mut Fleet| {
            if fleet.happens(6.0) {
                let any = first(fleet.rng.random_range(0..FIRSTS));
                fleet.ask(vec![any, part], bad);
            }
        }
    };
    fleet.run(10, ask(true));
    fleet.run(40, ask(false));
    let (asked, served) = (fleet.sound_asked, fleet.sound_served);
    fleet.run(20, ask(false));
    assert!(fleet.sound_served - served > (fleet.sound_asked - asked) * 9 / 10);
    assert_eq!(fleet.dispatcher.blocked_parts(fleet.at()), []);
}

#[test]
fn a_table_filled_by_one_caller_stays_bounded() {
    let mut parts = CrashParts::default();
    for number in 0..10_000_u64 {
        let many: Vec<PartId> = (0..100).map(|n| own(number * 100 + n)).collect();
        let report = CrashReport {
            ticket: Ticket(number),
            target: format!("t{}", number / 4),
            parts: many,
            age_ms: 0,
        };
        parts.note_crash(Time::from_millis(number), &report);
    }
    parts.restore(
        Time::from_millis(10_000),
        &vec![
            BlockedParts {
                parts: vec![own(1)],
                trials: 0,
                item_trials: 0,
                age_ms: 0,
            };
            1000
        ],
    );
    assert!(parts.blocked(Time::from_millis(10_000)).len() <= 64);
}
