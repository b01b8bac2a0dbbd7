//! Token buckets across changes of leader: after the loss of all processes all callers come back at once, to
//! a leader that has counted nothing.

mod loads;

use std::collections::BTreeSet;

use clem_policy::dispatch::{
    Dispatcher, GrantOutcome, LowBuckets, RateLimit, TargetSlots, Verdict,
};
use clem_types::Time;
use loads::{SERVICE, want};

const LIMIT: RateLimit = RateLimit {
    rate: 96.0,
    burst: 96.0,
};
/// Tokens of a customer of whom nothing is known, half of what the platform tolerates beside its overage.
const ALLOWANCE: f64 = 10.0;
const STEP: u64 = 10;
/// How often the record of low buckets is brought up to date, in milliseconds.
const RECORD_INTERVAL: u64 = 100;
/// The span over which the platform counts requests, in milliseconds.
const WINDOW: u64 = 5000;

/// The most requests of the customer in a window, by the platform's rules.
fn window_max() -> usize {
    ((LIMIT.rate * 5.0 + LIMIT.burst) * 1.1 + 20.0) as usize
}

/// One customer, the leaders that it meets, and the record that they hand on.
struct Group {
    dispatcher: Dispatcher,
    record: Option<LowBuckets>,
    tickets: u64,
    granted: Vec<u64>,
}

impl Group {
    fn new() -> Self {
        let mut group = Self {
            dispatcher: Dispatcher::default(),
            record: None,
            tickets: 0,
            granted: Vec::new(),
        };
        group.elect(0);
        group
    }

    /// A new leader, which knows the record only.
    fn elect(&mut self, now: u64) {
        let at = Time::from_millis(now);
        self.dispatcher = Dispatcher::default();
        self.dispatcher.restore_low_buckets(self.record.clone());
        let limits = [("c".to_owned(), LIMIT)].into();
        self.dispatcher.set_rates(at, &limits, ALLOWANCE);
        let slots = TargetSlots {
            target: "t".to_owned(),
            data_centre: "a".to_owned(),
            slots: 10_000,
            version: None,
        };
        self.dispatcher.set_targets(at, SERVICE, &[slots]);
    }

    /// Plays a span with this many requests a second; returns how many were granted.
    fn play(&mut self, from: u64, to: u64, per_s: u64) -> usize {
        let before = self.granted.len();
        let mut owed = 0;
        for now in (from..to).step_by(STEP as usize) {
            let at = Time::from_millis(now);
            owed += per_s * STEP;
            while owed >= 1000 {
                owed -= 1000;
                self.tickets += 1;
                let mut want = want(self.tickets);
                want.customer = Some("c".to_owned());
                self.dispatcher.request_slot(at, want);
            }
            for (ticket, verdict) in self.dispatcher.take_decided() {
                if !matches!(verdict, Verdict::Granted { .. }) {
                    continue;
                }
                self.granted.push(now);
                self.dispatcher.release(at, ticket, GrantOutcome::Answered);
            }
            if now.is_multiple_of(RECORD_INTERVAL) {
                let levels = self.dispatcher.bucket_levels(at);
                let record = self.record.clone().unwrap_or_default();
                self.record = Some(record.updated(&levels));
            }
        }
        self.granted.len() - before
    }

    /// The most requests that were granted in a window.
    fn busiest_window(&self) -> usize {
        let count = |start: &u64| {
            let in_window = |at: &&u64| (*start..start + WINDOW).contains(*at);
            self.granted.iter().filter(in_window).count()
        };
        self.granted.iter().map(count).max().unwrap_or_default()
    }
}

/// Load: a customer at two thirds of its rate, all of whose callers come back at once after a loss. Guards
/// against refusals of a customer that has spent little.
#[test]
fn a_customer_that_spent_little_gets_half_of_its_burst_from_a_new_leader() {
    let mut group = Group::new();
    group.play(0, 10_000, 60);
    group.elect(11_500);
    let served = group.play(11_500, 11_700, 300);
    assert!(served >= 48, "only {served} of 60 requests were granted");
    assert!(group.busiest_window() <= window_max());
}

/// Load: one customer at several times its rate, while leaders are lost one after the other. Guards against
/// a fresh burst from each of them.
#[test]
fn a_customer_over_its_rate_gets_no_fresh_burst_from_each_leader() {
    let mut group = Group::new();
    for term in 0..12 {
        let start = term * 1500;
        group.elect(start);
        group.play(start, start + 1000, 700);
    }
    let most = group.busiest_window();
    assert!(most <= window_max(), "{most} requests in a window");
}

#[test]
fn a_record_names_low_buckets_until_they_are_nearly_full() {
    let levels = |level: f64| [("c".to_owned(), level)].into();
    let low = LowBuckets::default().updated(&levels(0.49));
    assert_eq!(low.customers, BTreeSet::from(["c".to_owned()]));
    assert_eq!(low.updated(&levels(0.7)), low, "not refilled yet");
    assert_eq!(low.updated(&levels(0.81)), LowBuckets::default());
    assert_eq!(low.least_tokens("c", LIMIT), 0.0);
    assert_eq!(low.least_tokens("other", LIMIT), 48.0);
    let many = (0..2000).map(|n| (format!("c{n}"), 0.1)).collect();
    let all = LowBuckets::default().updated(&many);
    assert!(all.all && all.customers.is_empty());
    assert_eq!(all.least_tokens("other", LIMIT), 0.0);
}
