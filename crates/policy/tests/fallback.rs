//! Rate limits without a leader: each front uses the share that the last leader assigned to it.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

use std::time::Duration;

use clem_policy::dispatch::{Fallback, RateBucket, RateLimit};
use clem_types::Time;

const FRONTS: usize = 20;
const LIMIT: RateLimit = RateLimit {
    rate: 50.0,
    burst: 50.0,
};
/// Tokens with which a new leader starts a customer's bucket.
const START_TOKENS: f64 = 10.0;
/// Window in which the platform counts a customer's requests.
const WINDOW_MS: u64 = 5000;
/// Most requests that the platform accepts in a window: the rate limit plus 10 % plus 20.
const WINDOW_MAX: usize = (((50 * 5 + 50) * 11) / 10) + 20;

/// Fronts, a leader that fails now and then, and one customer.
struct Fleet {
    fronts: Vec<Fallback>,
    leader: RateBucket,
    led: bool,
    /// Arrival times of the admitted requests, in milliseconds.
    admitted: Vec<u64>,
    refused: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            fronts: (0..FRONTS).map(|_| Fallback::default()).collect(),
            leader: RateBucket::new(Time::ZERO, LIMIT, LIMIT.burst),
            led: true,
            admitted: Vec::new(),
            refused: 0,
        }
    }

    fn ask(&mut self, ms: u64, index: usize) {
        let now = Time::from_millis(ms);
        let name = format!("front-{index}");
        let front = &mut self.fronts[index];
        let taken = if self.led {
            let taken = self.leader.take(now);
            front.note_heard(now);
            match taken {
                Ok(()) => front.note_share(now, "c", self.leader.count(now, &name)),
                Err(_) => front.note_spent("c"),
            }
            taken
        } else {
            front.note_silent();
            front.take(now, "c", LIMIT, FRONTS as u32)
        };
        match taken {
            Ok(()) => self.admitted.push(ms),
            Err(_) => self.refused += 1,
        }
    }

    /// Simulates `per_s` requests per second; there is no leader during the spans of `lost`.
    fn run(&mut self, per_s: u64, end_ms: u64, lost: &[(u64, u64)]) {
        let count = end_ms * per_s / 1000;
        for n in 0..count {
            let ms = n * 1000 / per_s;
            let led = !lost.iter().any(|(from, to)| (*from..*to).contains(&ms));
            if led && !self.led {
                self.leader = RateBucket::new(Time::from_millis(ms), LIMIT, START_TOKENS);
            }
            self.led = led;
            self.ask(ms, (n as usize * 7) % FRONTS);
        }
    }

    fn worst_window(&self) -> usize {
        let within = |from: u64| {
            let end = from + WINDOW_MS;
            self.admitted
                .iter()
                .filter(|at| (from..end).contains(at))
                .count()
        };
        self.admitted
            .iter()
            .map(|from| within(*from))
            .max()
            .unwrap()
    }
}

/// Guards against a new burst at each loss of the leader, which happened while a customer sent ten
/// times its rate.
#[test]
fn a_customer_over_its_rate_gets_no_new_burst_from_lost_leaders() {
    let mut fleet = Fleet::new();
    let lost = [(6000, 7000), (7600, 8400), (9000, 9800)];
    fleet.run(500, 15_000, &lost);
    let worst = fleet.worst_window();
    assert!(worst <= WINDOW_MAX, "{worst} ran of {WINDOW_MAX}");
}

#[test]
fn a_customer_under_its_rate_is_served_without_a_leader() {
    let mut fleet = Fleet::new();
    fleet.run(25, 20_000, &[(6000, 10_000)]);
    let all = fleet.admitted.len() + fleet.refused;
    assert!(
        fleet.refused * 50 <= all,
        "{} of {all} were refused",
        fleet.refused
    );
}

#[test]
fn a_customer_that_a_front_has_not_seen_yet_is_served() {
    let mut front = Fallback::default();
    front.note_silent();
    let now = Time::ZERO + Duration::from_secs(1);
    assert_eq!(front.take(now, "c", LIMIT, FRONTS as u32), Ok(()));
}
