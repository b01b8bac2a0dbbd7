//! Targets that name a limit, through the dispatcher in virtual time.

mod loads;

use std::collections::BTreeMap;

use clem_policy::dispatch::{
    Budget, Dispatcher, GrantOutcome, LimitReport, LimitedTargets, SlotRequest, TargetLimit,
    TargetSlots, Ticket, Urgency, Verdict,
};
use clem_types::{Rate, Time};
use loads::{SERVICE, want};
use std::time::Duration;

/// Step of virtual time, in milliseconds.
const STEP: u64 = 20;
/// Length of the window in which requests are counted, in milliseconds.
const WINDOW: u64 = 4000;
/// From a request to its answer, in milliseconds, unless a test says otherwise.
const SERVICE_TIME: u64 = 100;

/// Requests that may reach a target in a window, by the platform's rules.
fn window_max(per_s: f64) -> usize {
    (per_s * WINDOW as f64 / 1000.0 * 1.5) as usize + 5
}

fn rate(text: &str) -> Rate {
    text.parse().expect("a rate")
}

/// A service, its callers and what reached its targets.
struct Fleet {
    dispatcher: Dispatcher,
    now: u64,
    tickets: u64,
    targets: usize,
    service_time: u64,
    running: BTreeMap<Ticket, u64>,
    /// Times at which requests reached each target.
    reached: BTreeMap<String, Vec<u64>>,
    refused: Vec<Duration>,
    /// When each request asked for its slot.
    asked: BTreeMap<Ticket, Time>,
    /// How long each granted request waited.
    waits: Vec<Duration>,
}

impl Fleet {
    fn new(targets: usize) -> Self {
        let mut fleet = Self {
            dispatcher: Dispatcher::default(),
            now: 0,
            tickets: 0,
            targets,
            service_time: SERVICE_TIME,
            running: BTreeMap::new(),
            reached: BTreeMap::new(),
            refused: Vec::new(),
            asked: BTreeMap::new(),
            waits: Vec::new(),
        };
        fleet.list_targets();
        fleet
    }

    fn at(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn list_targets(&mut self) {
        let slots = |number: usize| TargetSlots {
            target: format!("t{number}"),
            data_centre: "a".to_owned(),
            slots: 8,
            version: None,
        };
        let list: Vec<TargetSlots> = (0..self.targets).map(slots).collect();
        let at = self.at();
        self.dispatcher.set_targets(at, SERVICE, &list);
    }

    fn name_limit(&mut self, target: &str, limit: Option<&str>) {
        let report = LimitReport {
            ticket: Ticket(0),
            target: target.to_owned(),
            rate: limit.map(rate),
        };
        let at = self.at();
        self.dispatcher.note_limit(at, &report);
    }

    /// Asks for slots `online` and `batch` times a second for some seconds.
    fn run(&mut self, seconds: u64, online: u64, batch: u64) {
        for step in 0..seconds * 1000 / STEP {
            self.now += STEP;
            for _ in 0..count(step, online) {
                self.ask(Urgency::Online);
            }
            for _ in 0..count(step, batch) {
                self.ask(Urgency::Batch {
                    due: Duration::from_secs(60),
                });
            }
            self.step();
        }
    }

    fn ask(&mut self, urgency: Urgency) {
        self.tickets += 1;
        let request = SlotRequest {
            holder: "holder".to_owned(),
            urgency,
            ..want(self.tickets)
        };
        let batch = matches!(urgency, Urgency::Batch { .. });
        let request = SlotRequest {
            queue_timeout: if batch {
                Duration::from_secs(1)
            } else {
                request.queue_timeout
            },
            rank: u8::from(batch),
            ..request
        };
        let at = self.at();
        self.asked.insert(request.ticket, at);
        self.dispatcher.request_slot(at, request);
    }

    fn step(&mut self) {
        let at = self.at();
        let due: Vec<Ticket> = self
            .running
            .iter()
            .filter(|(_, until)| self.now >= **until)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            self.running.remove(&ticket);
            self.dispatcher.release(at, ticket, GrantOutcome::Answered);
        }
        self.dispatcher.tick(at);
        for (ticket, verdict) in self.dispatcher.take_decided() {
            match verdict {
                Verdict::Granted { target, .. } => {
                    self.running.insert(ticket, self.now + self.service_time);
                    let asked = self.asked.remove(&ticket).unwrap_or(at);
                    self.waits.push(at.since(asked));
                    self.reached.entry(target).or_default().push(self.now);
                }
                Verdict::Busy { retry, .. } => self.refused.push(retry),
                Verdict::Harmful
                | Verdict::OverRate { .. }
                | Verdict::NoTarget
                | Verdict::Unresumable => {}
            }
        }
    }

    fn most_in_window(&self, target: &str) -> usize {
        let times = self.reached.get(target).cloned().unwrap_or_default();
        let mut most = 0;
        for first in &times {
            let inside = times
                .iter()
                .filter(|at| *at >= first && **at < first + WINDOW);
            most = most.max(inside.count());
        }
        most
    }

    fn reached(&self, target: &str) -> usize {
        self.reached.get(target).map_or(0, Vec::len)
    }
}

/// How many of `per_s` events a second happen in a step.
fn count(step: u64, per_s: u64) -> u64 {
    let until = |step: u64| step * per_s * STEP / 1000;
    until(step + 1) - until(step)
}

#[test]
fn limited_targets_get_nearly_their_limit_and_no_more() {
    for limit in ["0.3/s", "1/s", "2.5/s", "10/s", "40/s"] {
        let per_s = rate(limit).micros_per_second() as f64 / 1e6;
        let mut fleet = Fleet::new(3);
        for target in ["t0", "t1", "t2"] {
            fleet.name_limit(target, Some(limit));
        }
        fleet.run(40, 200, 0);
        for target in ["t0", "t1", "t2"] {
            let most = fleet.most_in_window(target);
            assert!(most <= window_max(per_s), "{limit}: {most} in a window");
            let reached = fleet.reached(target) as f64;
            assert!(reached >= 0.8 * per_s * 40.0, "{limit}: only {reached}");
        }
    }
}

#[test]
fn a_target_that_takes_none_is_asked_seldom_until_its_limit_ends() {
    let mut fleet = Fleet::new(1);
    let none = LimitReport {
        ticket: Ticket(0),
        target: "t0".to_owned(),
        rate: Some(Rate::default()),
    };
    fleet.dispatcher.note_limit(Time::ZERO, &none);
    fleet.run(40, 50, 0);
    assert!(fleet.most_in_window("t0") <= window_max(0.0));
    assert!(fleet.reached("t0") >= 5, "{}", fleet.reached("t0"));
    fleet.name_limit("t0", None);
    let before = fleet.reached("t0");
    fleet.run(4, 50, 0);
    assert!(fleet.reached("t0") - before >= 150);
}

#[test]
fn other_targets_take_what_a_limited_one_can_not() {
    let mut fleet = Fleet::new(3);
    fleet.name_limit("t0", Some("1/s"));
    fleet.run(20, 60, 0);
    assert!(fleet.most_in_window("t0") <= window_max(1.0));
    assert!(fleet.refused.is_empty(), "{}", fleet.refused.len());
}

#[test]
fn what_limited_targets_can_not_take_in_time_is_refused_at_once() {
    let mut fleet = Fleet::new(2);
    for target in ["t0", "t1"] {
        fleet.name_limit(target, Some("2/s"));
    }
    fleet.run(2, 40, 0);
    let waiting = fleet.dispatcher.view(fleet.at(), SERVICE).expect("a pool");
    // The on-time wait of 240 ms has room for one request at 4/s.
    assert!(waiting.waiting <= 2, "{} wait", waiting.waiting);
    assert!(fleet.refused.len() >= 60, "{} refused", fleet.refused.len());
}

#[test]
fn a_new_leader_gives_no_fresh_burst() {
    let mut fleet = Fleet::new(2);
    for target in ["t0", "t1"] {
        fleet.name_limit(target, Some("3/s"));
    }
    for _ in 0..10 {
        fleet.run(1, 60, 0);
        let limits = fleet.dispatcher.limits();
        fleet.dispatcher = Dispatcher::default();
        fleet.running.clear();
        fleet.list_targets();
        let at = fleet.at();
        assert_eq!(fleet.dispatcher.restore_limits(at, &limits).len(), 2);
    }
    for target in ["t0", "t1"] {
        let most = fleet.most_in_window(target);
        assert!(most <= window_max(3.0), "{most} in a window");
    }
}

#[test]
fn a_limit_that_falls_binds_at_once() {
    let mut fleet = Fleet::new(1);
    fleet.name_limit("t0", Some("40/s"));
    fleet.run(5, 100, 0);
    fleet.reached.clear();
    fleet.name_limit("t0", Some("1/s"));
    fleet.run(10, 100, 0);
    let most = fleet.most_in_window("t0");
    assert!(most <= window_max(1.0), "{most} in a window");
}

#[test]
fn items_leave_the_limit_to_online_requests() {
    let mut fleet = Fleet::new(1);
    fleet.name_limit("t0", Some("4/s"));
    fleet.run(5, 0, 40);
    let items = fleet.reached("t0");
    assert!(items >= 12, "only {items} items in 5 s");
    // The items that still wait expire.
    fleet.run(2, 0, 0);
    let refused = fleet.refused.len();
    fleet.run(20, 3, 0);
    assert_eq!(
        fleet.refused.len() - refused,
        0,
        "online requests within the limit"
    );
    assert!(fleet.most_in_window("t0") <= window_max(4.0));
}

#[test]
fn the_answer_to_the_request_sent_last_decides() {
    let mut known = LimitedTargets::default();
    let [early, middle, late] = [1, 2, 3].map(Time::from_millis);
    assert!(known.note(middle, "t0", Some(rate("2/s"))));
    assert!(!known.note(early, "t0", None), "an older answer");
    assert!(!known.note(early, "t0", Some(rate("1/s"))));
    assert!(known.note(late, "t0", None));
    assert!(!known.note(middle, "t0", Some(rate("2/s"))));
    assert_eq!(known.limits(), []);
    let limit = TargetLimit {
        target: "t0".to_owned(),
        rate: rate("9/s"),
    };
    assert!(
        !known.restore(&limit),
        "another process knows an older answer"
    );
}

#[test]
fn a_request_that_was_not_sent_is_given_back() {
    let mut budget = Budget::new(Time::ZERO, rate("1/s"), 1);
    let now = Time::from_millis(1000);
    budget.take(now);
    assert_eq!(budget.available(now), 0);
    budget.refund(now);
    assert_eq!(budget.available(now), 1);
}

#[test]
fn requests_that_limits_make_late_are_refused_at_once() {
    let mut fleet = Fleet::new(18);
    fleet.service_time = 800;
    // The dispatcher learns how long requests take.
    fleet.run(5, 100, 0);
    fleet.waits.clear();
    for number in 0..13 {
        fleet.name_limit(&format!("t{number}"), Some("2/s"));
    }
    // The free targets run 50 a second, the others 26.
    fleet.run(20, 130, 0);
    let granted = fleet.waits.len();
    let on_time = want(0).on_time;
    let late = fleet.waits.iter().filter(|wait| **wait > on_time).count();
    assert!(granted >= 1200, "only {granted} were granted");
    assert_eq!(late, 0, "late requests, of {granted} granted");
}
