//! Customers' rates while leaders come and go: each front goes by what it heard last.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

use std::time::Duration;

use clem_policy::dispatch::{Fallback, Meter, RateLimit};
use clem_types::Time;

const FRONTS: usize = 20;
const LIMIT: RateLimit = RateLimit {
    rate: 50.0,
    burst: 50.0,
};
/// What a leader that has just begun lets a customer have.
const ALLOWANCE: f64 = 10.0;
/// The span over which the platform counts a customer's requests.
const WINDOW_MS: u64 = 5000;
/// The most requests that the platform lets run in such a span: a tenth and 20 above the rate.
const WINDOW_MOST: usize = (((50 * 5 + 50) * 11) / 10) + 20;

/// Fronts, a leader that is lost now and then, and one customer.
struct Fleet {
    fronts: Vec<Fallback>,
    leader: Meter,
    led: bool,
    /// When requests were let through.
    passed: Vec<u64>,
    refused: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            fronts: (0..FRONTS).map(|_| Fallback::default()).collect(),
            leader: Meter::new(Time::ZERO, LIMIT, LIMIT.burst),
            led: true,
            passed: Vec::new(),
            refused: 0,
        }
    }

    fn ask(&mut self, ms: u64, front: usize) {
        let now = Time::from_millis(ms);
        let name = format!("front-{front}");
        let alone = &mut self.fronts[front];
        let taken = if self.led {
            let taken = self.leader.take(now);
            alone.note_heard(now);
            match taken {
                Ok(()) => alone.note_share(now, "c", self.leader.count(now, &name)),
                Err(_) => alone.note_spent("c"),
            }
            taken
        } else {
            alone.note_silent();
            alone.take(now, "c", LIMIT, FRONTS as u32)
        };
        match taken {
            Ok(()) => self.passed.push(ms),
            Err(_) => self.refused += 1,
        }
    }

    /// Plays `per_s` requests a second; leaders are lost for the spans of `lost`.
    fn play(&mut self, per_s: u64, end_ms: u64, lost: &[(u64, u64)]) {
        let count = end_ms * per_s / 1000;
        for n in 0..count {
            let ms = n * 1000 / per_s;
            let led = !lost.iter().any(|(from, to)| (*from..*to).contains(&ms));
            if led && !self.led {
                self.leader = Meter::new(Time::from_millis(ms), LIMIT, ALLOWANCE);
            }
            self.led = led;
            self.ask(ms, (n as usize * 7) % FRONTS);
        }
    }

    fn worst_window(&self) -> usize {
        let within = |from: u64| {
            let end = from + WINDOW_MS;
            self.passed
                .iter()
                .filter(|at| (from..end).contains(at))
                .count()
        };
        self.passed.iter().map(|from| within(*from)).max().unwrap()
    }
}

/// Seen on a grown site: the leader was lost while a customer sent ten times its usual.
#[test]
fn a_customer_over_its_rate_gets_no_new_burst_from_lost_leaders() {
    let mut fleet = Fleet::new();
    let lost = [(6000, 7000), (7600, 8400), (9000, 9800)];
    fleet.play(500, 15_000, &lost);
    let worst = fleet.worst_window();
    assert!(worst <= WINDOW_MOST, "{worst} ran of {WINDOW_MOST}");
}

#[test]
fn a_customer_under_its_rate_is_served_without_a_leader() {
    let mut fleet = Fleet::new();
    fleet.play(25, 20_000, &[(6000, 10_000)]);
    let all = fleet.passed.len() + fleet.refused;
    assert!(
        fleet.refused * 50 <= all,
        "{} of {all} were refused",
        fleet.refused
    );
}

#[test]
fn a_customer_that_a_front_has_not_seen_yet_is_served() {
    let mut alone = Fallback::default();
    alone.note_silent();
    let now = Time::ZERO + Duration::from_secs(1);
    assert_eq!(alone.take(now, "c", LIMIT, FRONTS as u32), Ok(()));
}
