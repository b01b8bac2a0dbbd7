//! A short overload by callers who retry once: which of them are served.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

mod loads;

use std::{collections::BTreeMap, time::Duration};

use clem_policy::dispatch::{
    Dispatcher, GrantOutcome, RouteTimeouts, SlotRequest, TargetSlots, Ticket, Verdict, retry_after,
};
use clem_types::Time;
use loads::SERVICE;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// 80 slots with half a second per request: a capacity of 160 requests a second.
const TARGETS: usize = 10;
const SLOTS: u32 = 8;
const HOLD_MS: u64 = 500;
const OBJECTIVE_MS: u64 = 300;
const PATIENCE_MS: u64 = 5000;
/// Phases of the load, normal, overload, normal: end in milliseconds and requests a second.
const LOAD: [(u64, u64); 3] = [(3000, 80), (4200, 260), (12_000, 40)];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retry {
    /// Baseline: callers retry as soon as a slot should be free and may be refused again.
    Soon,
    /// Retries are spread over the delay that callers honour, and are queued even if late.
    Spread,
}

#[derive(Debug, Default)]
struct Seen {
    /// Served on time at the first attempt.
    prompt: usize,
    /// Served on time at the second attempt.
    again: usize,
    late: usize,
    lost: usize,
}

struct Caller {
    first: u64,
    attempt: u64,
    returned: bool,
}

fn want(ticket: u64, last: bool) -> SlotRequest {
    SlotRequest {
        final_try: last,
        on_time: Duration::from_millis(OBJECTIVE_MS - 60),
        queue_timeout: Duration::from_millis(OBJECTIVE_MS * 3 - 60),
        ..loads::want(ticket)
    }
}

fn simulate(retry_mode: Retry) -> Seen {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut dispatcher = Dispatcher::default();
    let slots = (0..TARGETS).map(|n| TargetSlots {
        target: format!("t{n}"),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        version: None,
    });
    dispatcher.set_targets(Time::ZERO, SERVICE, &slots.collect::<Vec<_>>());
    let mut seen = Seen::default();
    let mut callers: Vec<Caller> = Vec::new();
    let mut arrivals: BTreeMap<(u64, u64), ()> = BTreeMap::new();
    let mut start = 0;
    for (end, per_s) in LOAD {
        let count = (end - start) * per_s / 1000;
        for _ in 0..count {
            let at = rng.random_range(start..end);
            arrivals.insert((at, callers.len() as u64), ());
            callers.push(Caller {
                first: at,
                attempt: at,
                returned: false,
            });
        }
        start = end;
    }
    let mut ends: BTreeMap<(u64, u64), ()> = BTreeMap::new();
    for ms in 0..15_000 {
        let now = Time::from_millis(ms);
        while let Some(entry) = ends.first_entry() {
            let (at, ticket) = *entry.key();
            if at > ms {
                break;
            }
            entry.remove();
            dispatcher.release(now, Ticket(ticket), GrantOutcome::Answered);
        }
        while let Some(entry) = arrivals.first_entry() {
            let (at, ticket) = *entry.key();
            if at > ms {
                break;
            }
            entry.remove();
            let caller = &callers[ticket as usize];
            let last = caller.returned && retry_mode == Retry::Spread;
            dispatcher.request_slot(now, want(ticket, last));
        }
        dispatcher.tick(now);
        for (ticket, verdict) in dispatcher.take_decided() {
            let caller = &mut callers[ticket.0 as usize];
            let retry = match verdict {
                Verdict::Granted { .. } => {
                    ends.insert((ms + HOLD_MS, ticket.0), ());
                    let prompt = ms + 60 - caller.attempt <= OBJECTIVE_MS;
                    match (prompt, caller.returned) {
                        (true, false) => seen.prompt += 1,
                        (true, true) => seen.again += 1,
                        (false, _) => seen.late += 1,
                    }
                    continue;
                }
                Verdict::Busy { retry, .. } => retry,
                other => panic!("{other:?}"),
            };
            if caller.returned {
                seen.lost += 1;
                continue;
            }
            let left = Duration::from_millis(caller.first + PATIENCE_MS - ms);
            let pause = match retry_mode {
                Retry::Soon => retry.mul_f64(1.0 + rng.random::<f64>() / 2.0),
                Retry::Spread => {
                    let room = retry.max(Duration::from_millis(300));
                    retry_after(rng.random(), room, left)
                }
            };
            let at = ms + pause.min(left / 3).as_millis() as u64;
            caller.returned = true;
            caller.attempt = at;
            arrivals.insert((at, ticket.0), ());
        }
    }
    seen
}

#[test]
fn callers_who_retry_are_served_after_an_overload() {
    let soon = simulate(Retry::Soon);
    let spread = simulate(Retry::Spread);
    println!("MEASURED soon {soon:?}, spread {spread:?}");
    assert_eq!(
        spread.lost, 0,
        "callers with seconds left after the overload were refused"
    );
    assert!(soon.lost > 20, "the load is too light for a comparison");
    let prompt = spread.prompt as f64 / soon.prompt as f64;
    assert!(
        prompt > 0.97,
        "fewer first attempts are served on time than in the baseline: {prompt}"
    );
}

#[test]
fn a_caller_with_less_time_than_usual_is_a_retry() {
    let ms = Duration::from_millis;
    let mut timeouts = RouteTimeouts::default();
    for _ in 0..50 {
        assert!(!timeouts.observe("chat", ms(5000)));
        assert!(!timeouts.observe("page", ms(1500)));
    }
    assert!(timeouts.observe("chat", ms(3400)));
    assert!(!timeouts.observe("page", ms(1500)));
    assert!(
        !timeouts.observe("chat", ms(9000)),
        "an unusually long timeout"
    );
    assert!(
        !timeouts.observe("chat", ms(5000)),
        "one long timeout does not move the usual one"
    );
}

#[test]
fn retries_are_spread_over_the_delay_that_callers_honour() {
    let ms = Duration::from_millis;
    assert_eq!(retry_after(0.0, ms(300), ms(4500)), ms(300));
    assert_eq!(retry_after(1.0, ms(300), ms(4500)), ms(1500));
    assert_eq!(
        retry_after(0.5, ms(900), ms(900)),
        ms(900),
        "not before a slot should be free"
    );
}
