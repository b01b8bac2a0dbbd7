//! A customer's rate limit over fronts of which some are out of touch with the leader.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{collections::HashMap, time::Duration};

use clem_policy::dispatch::{
    Dispatcher, Fallback, GrantOutcome, RateLimit, SHARE_LIFE, SlotRequest, TargetSlots, Ticket,
    UnknownShares, Urgency, Verdict, least_share,
};
use clem_types::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FRONTS: usize = 8;
const STEP_MS: u64 = 5;
/// Window in which the platform counts a customer's requests.
const WINDOW_MS: u64 = 5000;
/// How long a front waits for a silent leader before it places requests by itself.
const NOTICE_MS: u64 = 240;
/// Time between two reports of a front.
const REPORT_MS: u64 = 400;
const CUSTOMERS: [(&str, RateLimit); 2] = [
    (
        "large",
        RateLimit {
            rate: 50.0,
            burst: 50.0,
        },
    ),
    (
        "small",
        RateLimit {
            rate: 30.0,
            burst: 30.0,
        },
    ),
];

/// Most requests of a customer that the platform accepts in a window.
fn window_max(limit: RateLimit) -> usize {
    let window = WINDOW_MS as f64 / 1000.0;
    ((limit.rate * window + limit.burst) * 1.1 + 20.0) as usize
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Spread {
    /// Each front gets as many requests.
    Even,
    /// The first fronts, which are cut off, get three times as many as the others.
    Skewed,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    seed: u64,
    spread: Spread,
    /// The first of the fronts are out of touch during these spans, in milliseconds.
    cut: usize,
    spans: &'static [(u64, u64)],
    /// Requests of each customer, as a multiple of its rate.
    load: f64,
    end_ms: u64,
}

struct Fleet {
    scenario: Scenario,
    leader: Dispatcher,
    fronts: Vec<Fallback>,
    rng: ChaCha8Rng,
    ticket: u64,
    running: Vec<Ticket>,
    /// When requests of each customer were admitted, in milliseconds.
    admitted: HashMap<&'static str, Vec<u64>>,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let mut leader = Dispatcher::default();
        let rates = CUSTOMERS.map(|(name, limit)| (name.to_owned(), limit));
        leader.set_rates(Time::ZERO, &rates.into(), 10.0);
        let slots = TargetSlots {
            target: "target".to_owned(),
            data_centre: "a".to_owned(),
            slots: 10_000,
            version: None,
        };
        leader.set_targets(Time::ZERO, "service", &[slots]);
        leader.set_unknown_shares(
            Time::ZERO,
            UnknownShares {
                least: least_share(FRONTS as u32),
                unheard: 0.0,
            },
        );
        Self {
            scenario,
            leader,
            fronts: (0..FRONTS).map(|_| Fallback::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            ticket: 0,
            running: Vec::new(),
            admitted: HashMap::new(),
        }
    }

    /// The start of the cut that a front is behind.
    fn cut_since(&self, ms: u64, front: usize) -> Option<u64> {
        let spans = self.scenario.spans.iter();
        let mut cuts = spans.filter(|(from, to)| (*from..*to).contains(&ms));
        let (from, _) = cuts.next()?;
        (front < self.scenario.cut).then_some(*from)
    }

    fn weight(&self, front: usize) -> f64 {
        let weight = |front: usize| match self.scenario.spread {
            Spread::Skewed if front < self.scenario.cut => 3.0,
            Spread::Skewed | Spread::Even => 1.0,
        };
        weight(front) / (0..FRONTS).map(weight).sum::<f64>()
    }

    fn run(&mut self) {
        for ms in (0..self.scenario.end_ms).step_by(STEP_MS as usize) {
            let now = Time::from_millis(ms);
            for ticket in std::mem::take(&mut self.running) {
                self.leader.release(now, ticket, GrantOutcome::Answered);
            }
            if ms % 20 == 0 {
                self.leader.tick(now);
            }
            for front in 0..FRONTS {
                if ms % REPORT_MS == front as u64 * STEP_MS && self.cut_since(ms, front).is_none() {
                    self.report(now, front);
                }
                for (customer, limit) in CUSTOMERS {
                    let load = limit.rate * self.scenario.load * self.weight(front);
                    let expected = load * STEP_MS as f64 / 1000.0;
                    if self.rng.random::<f64>() < expected {
                        self.ask(ms, front, customer, limit);
                    }
                }
            }
        }
    }

    fn report(&mut self, now: Time, front: usize) {
        let holder = format!("front-{front}");
        let spent = self.fronts[front].spent(now);
        self.leader.report(now, &holder, &[]);
        self.leader.note_front(now, &holder, &spent);
        self.fronts[front].note_heard(now);
    }

    fn ask(&mut self, ms: u64, front: usize, customer: &'static str, limit: RateLimit) {
        let now = Time::from_millis(ms);
        let admitted = match self.cut_since(ms, front) {
            Some(since) if ms < since + NOTICE_MS => false,
            Some(_) => {
                let front = &mut self.fronts[front];
                front.note_silent();
                front.take(now, customer, limit, FRONTS as u32).is_ok()
            }
            None => self.ask_leader(now, front, customer),
        };
        if admitted {
            self.admitted.entry(customer).or_default().push(ms);
        }
    }

    fn ask_leader(&mut self, now: Time, front: usize, customer: &str) -> bool {
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        self.leader.request_slot(
            now,
            SlotRequest {
                ticket,
                holder: format!("front-{front}"),
                service: "service".to_owned(),
                customer: Some(customer.to_owned()),
                rank: 0,
                urgency: Urgency::Online,
                final_try: false,
                on_time: Duration::from_secs(1),
                queue_timeout: Duration::from_secs(1),
                data_centre: "a".to_owned(),
                avoid: Vec::new(),
                parts: Vec::new(),
                stream: None,
            },
        );
        let decided = self.leader.take_decided();
        let verdict = decided.into_iter().find(|(decided, _)| *decided == ticket);
        let front = &mut self.fronts[front];
        match verdict.unwrap().1 {
            Verdict::Granted { share, .. } => {
                front.note_share(now, customer, share);
                self.running.push(ticket);
                true
            }
            Verdict::OverRate { .. } => {
                front.note_spent(customer);
                false
            }
            other => panic!("{other:?}"),
        }
    }

    /// The most requests of a customer in a window.
    fn worst_window(&self, customer: &str) -> usize {
        let admitted = &self.admitted[customer];
        let within = |(first, from): (usize, &u64)| {
            let inside = admitted[first..]
                .iter()
                .take_while(|at| **at < from + WINDOW_MS);
            inside.count()
        };
        admitted.iter().enumerate().map(within).max().unwrap()
    }

    /// The share of its rate that a customer got in a span, in milliseconds.
    fn share(&self, customer: usize, span: (u64, u64)) -> f64 {
        let (name, limit) = CUSTOMERS[customer];
        let admitted = self.admitted[name].iter();
        let inside = admitted.filter(|at| (span.0..span.1).contains(at));
        inside.count() as f64 / (limit.rate * (span.1 - span.0) as f64 / 1000.0)
    }
}

/// Runs a scenario and returns the fleet.
fn run(scenario: Scenario) -> Fleet {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    fleet
}

const CUTS: &[(u64, u64)] = &[(12_000, 17_000), (25_200, 30_200)];

fn hot(seed: u64, spread: Spread, cut: usize) -> Scenario {
    Scenario {
        seed,
        spread,
        cut,
        spans: CUTS,
        load: 10.0,
        end_ms: 40_000,
    }
}

#[test]
fn fronts_that_are_cut_off_and_the_others_keep_to_the_rate_together() {
    let mut broken = Vec::new();
    for cut in 1..=3 {
        for spread in [Spread::Even, Spread::Skewed] {
            for seed in 0..20 {
                let fleet = run(hot(seed, spread, cut));
                for (customer, limit) in CUSTOMERS {
                    let (worst, most) = (fleet.worst_window(customer), window_max(limit));
                    if worst > most {
                        broken.push(format!(
                            "{cut} cut off, {spread:?}, seed {seed}, {customer}: {worst} of {most}"
                        ));
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{} cases: {broken:#?}", broken.len());
}

#[test]
fn a_customer_gets_its_whole_rate_however_many_fronts_are_cut_off() {
    println!("fronts cut off, spread, share of the rate during the cuts, over all, worst window");
    for cut in 0..=3 {
        for spread in [Spread::Even, Spread::Skewed] {
            let (mut during, mut all, mut worst) = (0.0, 0.0, 0);
            for seed in 0..20 {
                let fleet = run(hot(seed, spread, cut));
                for span in CUTS {
                    during += fleet.share(0, *span) / (20.0 * CUTS.len() as f64);
                }
                all += fleet.share(0, (5000, 40_000)) / 20.0;
                worst = worst.max(fleet.worst_window("large"));
            }
            println!("{cut} {spread:?} {during:.3} {all:.3} {worst}");
            assert!(during > 0.9, "{cut} cut off, {spread:?}: {during:.3}");
            assert!(all > 0.95, "{cut} cut off, {spread:?}: {all:.3}");
        }
    }
}

#[test]
fn a_customer_below_its_rate_is_served_while_fronts_are_cut_off() {
    for cut in 0..=3 {
        let fleet = run(Scenario {
            load: 0.5,
            ..hot(7, Spread::Even, cut)
        });
        let share = fleet.share(0, (5000, 40_000));
        assert!(share > 0.46, "{cut} cut off: {share:.3} of 0.5 were served");
    }
}

/// A fleet that has run for 12 s at ten times the rate, with its clock.
fn warm(cut: usize) -> (Fleet, Time) {
    let fleet = run(Scenario {
        end_ms: 12_000,
        ..hot(3, Spread::Even, cut)
    });
    (fleet, Time::from_millis(12_000))
}

/// Lets the first front be silent until the leader notices, while the others use the whole rate.
fn silence(fleet: &mut Fleet, now: &mut Time) {
    for _ in 0..4 {
        *now = *now + Duration::from_millis(REPORT_MS);
        while fleet.ask_leader(*now, 1, "large") {}
        for front in 1..FRONTS {
            fleet.report(*now, front);
        }
        fleet.leader.tick(*now);
    }
}

#[test]
fn nothing_is_kept_back_for_a_front_that_has_ended() {
    let (mut fleet, mut now) = warm(0);
    fleet.leader.note_ended(now, "front-0");
    silence(&mut fleet, &mut now);
    assert_eq!(fleet.leader.kept_part("large"), Some(0.0));
    let (mut fleet, mut now) = warm(0);
    silence(&mut fleet, &mut now);
    let kept = fleet.leader.kept_part("large").unwrap();
    assert!(kept > 0.08, "{kept} is kept back for one front of eight");
    // Its vm has started it again.
    fleet.leader.note_ended(now, "front-0");
    assert_eq!(fleet.leader.kept_part("large"), Some(0.0));
}

#[test]
fn a_share_is_kept_back_for_as_long_as_its_front_may_use_it() {
    let (mut fleet, mut now) = warm(0);
    let limit = CUSTOMERS[0].1;
    let start = now;
    silence(&mut fleet, &mut now);
    let front = &mut fleet.fronts[0];
    front.note_silent();
    let mut taken = [0, 0];
    while now.since(start) < SHARE_LIFE * 2 {
        now = now + Duration::from_millis(10);
        let late = usize::from(now.since(start) > SHARE_LIFE);
        taken[late] += u32::from(front.take(now, "large", limit, FRONTS as u32).is_ok());
        if late == 0 {
            assert!(fleet.leader.kept_part("large").unwrap() > 0.08);
        }
    }
    let expected = limit.rate * SHARE_LIFE.as_secs_f64() * least_share(FRONTS as u32);
    assert!(f64::from(taken[0]) > 2.0 * expected, "{taken:?}");
    assert!(f64::from(taken[1]) < 1.2 * expected + 2.0, "{taken:?}");
}

#[test]
fn what_a_frozen_front_did_not_spend_is_given_back() {
    let mut given = Vec::new();
    for spent in [0, 1000] {
        let (mut fleet, mut now) = warm(0);
        silence(&mut fleet, &mut now);
        let before = fleet.fronts[0].spent(now);
        assert!(before.is_empty());
        fleet.leader.report(now, "front-0", &[]);
        let spent = [("large".to_owned(), spent)];
        fleet.leader.note_front(now, "front-0", &spent);
        let granted = (0..100).filter(|_| fleet.ask_leader(now, 1, "large"));
        given.push(granted.count());
        assert_eq!(fleet.leader.kept_part("large"), Some(0.0));
    }
    // One of eight fronts was silent for 1.6 s.
    let least = (50.0 * 1.5 / 8.0) as usize;
    assert!(given[0] >= given[1] + least, "{given:?}");
}

#[test]
fn what_a_front_placed_by_itself_is_charged_once() {
    let (mut fleet, now) = warm(0);
    while fleet.ask_leader(now, 1, "large") {}
    let now = now + Duration::from_millis(800);
    // It was alone for less time than the leader needs to notice.
    let spent = [("large".to_owned(), 30)];
    fleet.leader.note_front(now, "front-0", &spent);
    fleet.leader.note_front(now, "front-0", &spent);
    let granted = (0..100).filter(|_| fleet.ask_leader(now, 1, "large"));
    let granted = granted.count();
    assert!((9..=11).contains(&granted), "{granted} of 40 - 30");
}

#[test]
fn a_new_leader_keeps_back_what_fronts_may_spend_that_it_has_not_heard_of() {
    let mut fleet = Fleet::new(hot(5, Spread::Even, 0));
    let unknown = UnknownShares {
        least: 1.0 / FRONTS as f64,
        unheard: 3.0 / FRONTS as f64,
    };
    fleet.leader.set_unknown_shares(Time::ZERO, unknown);
    let rates = CUSTOMERS.map(|(name, limit)| (name.to_owned(), limit));
    fleet.leader.set_rates(Time::ZERO, &rates.into(), 10.0);
    let mut granted = 0;
    for ms in (0..10_000).step_by(5) {
        let now = Time::from_millis(ms);
        granted += u32::from(fleet.ask_leader(now, 5, "large"));
    }
    let expected = 50.0 * 10.0 * 5.0 / 8.0;
    let granted = f64::from(granted);
    assert!(
        (expected..expected + 11.0).contains(&granted),
        "{granted} of {expected}"
    );
}
