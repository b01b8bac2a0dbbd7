//! Rate limit of entries and leader together: every window of length `w` admits at most
//! `burst + rate * w` requests, under message loss, delay and duplication, frozen and restarted
//! entries, and new leaders.

use std::{collections::VecDeque, time::Duration};

use clem_policy::{
    bucket::{Buckets, GRANT_TTL, Granted, Limit, TokenRequest},
    limiter::{LeaderCall, Limiter, RateDecision},
};
use clem_types::{CustomerId, HolderId, Incarnation, Rate, Time};
use proptest::prelude::*;

const ENTRIES: usize = 3;

/// One step of a schedule; a step at an entry has its index first, and times are in milliseconds.
#[derive(Debug, Clone)]
enum Step {
    Requests(usize, u8),
    StartCall(usize),
    Deliver(usize),
    DeliverAgain(usize),
    LoseCall(usize),
    Answer(usize),
    LoseAnswer(usize),
    Freeze(usize, u16),
    Restart(usize),
    NewLeader,
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    prop_oneof![
        6 => (entry.clone(), 1u8..12).prop_map(|(e, n)| Step::Requests(e, n)),
        8 => entry.clone().prop_map(Step::StartCall),
        8 => entry.clone().prop_map(Step::Deliver),
        2 => entry.clone().prop_map(Step::DeliverAgain),
        1 => entry.clone().prop_map(Step::LoseCall),
        8 => entry.clone().prop_map(Step::Answer),
        1 => entry.clone().prop_map(Step::LoseAnswer),
        1 => (entry.clone(), 1u16..900).prop_map(|(e, ms)| Step::Freeze(e, ms)),
        1 => entry.prop_map(Step::Restart),
        1 => Just(Step::NewLeader),
        8 => (0u16..200).prop_map(Step::Wait),
    ]
}

/// Incarnation of the entry, sequence number of the call, and its token requests.
type Message = (Incarnation, u64, Vec<TokenRequest>);

struct Entry {
    limiter: Limiter,
    incarnation: Incarnation,
    sequence: u64,
    call: Option<LeaderCall>,
    sent: VecDeque<Message>,
    delivered: Option<Message>,
    answer: Option<(u64, Vec<Granted>)>,
    frozen_until: Time,
}

struct Fleet {
    now: Time,
    limit: Limit,
    leader: Buckets,
    entries: Vec<Entry>,
    admitted: Vec<Time>,
}

impl Fleet {
    fn new(limit: Limit) -> Self {
        let entry = |_| Entry {
            limiter: Limiter::new(),
            incarnation: Incarnation(1),
            sequence: 0,
            call: None,
            sent: VecDeque::new(),
            delivered: None,
            answer: None,
            frozen_until: Time::ZERO,
        };
        Self {
            now: Time::ZERO,
            limit,
            leader: Buckets::new(Time::ZERO),
            entries: (0..ENTRIES).map(entry).collect(),
            admitted: Vec::new(),
        }
    }

    fn run(&mut self, step: &Step) {
        let now = self.now;
        match *step {
            Step::Wait(ms) => self.now = now + Duration::from_millis(ms.into()),
            Step::NewLeader => self.leader = Buckets::new(now),
            Step::Freeze(e, ms) => {
                self.entries[e].frozen_until = now + Duration::from_millis(ms.into());
            }
            Step::Restart(e) => {
                let entry = &mut self.entries[e];
                entry.limiter = Limiter::new();
                entry.incarnation = entry.incarnation.next();
                entry.sequence = 0;
                entry.call = None;
                entry.answer = None;
            }
            Step::Requests(e, n) if now >= self.entries[e].frozen_until => {
                for _ in 0..n {
                    let admission = self.entries[e].limiter.admit(now, &customer());
                    if admission == RateDecision::Admitted {
                        self.admitted.push(now);
                    }
                }
            }
            Step::StartCall(e) if now >= self.entries[e].frozen_until => {
                self.entries[e].start_call(now);
            }
            Step::Deliver(e) => {
                if let Some(message) = self.entries[e].sent.pop_front() {
                    self.deliver(e, message);
                }
            }
            Step::DeliverAgain(e) => {
                if let Some(message) = self.entries[e].delivered.clone() {
                    self.deliver(e, message);
                }
            }
            Step::LoseCall(e) => drop(self.entries[e].sent.pop_front()),
            Step::LoseAnswer(e) if now >= self.entries[e].frozen_until => {
                let entry = &mut self.entries[e];
                entry.answer = None;
                if let Some(call) = entry.call.take() {
                    entry.limiter.failed(now, &call);
                }
            }
            Step::Answer(e) if now >= self.entries[e].frozen_until => self.answer(e),
            Step::Requests(..) | Step::StartCall(_) | Step::LoseAnswer(_) | Step::Answer(_) => {}
        }
    }

    fn deliver(&mut self, e: usize, message: Message) {
        let holder: HolderId = format!("entry-{e}").parse().expect("an id");
        let (incarnation, sequence, requests) = message.clone();
        let limit = self.limit;
        let grants = self
            .leader
            .take(self.now, (holder, incarnation), sequence, &requests, |_| {
                Some(limit)
            });
        let entry = &mut self.entries[e];
        entry.delivered = Some(message);
        if incarnation == entry.incarnation && sequence == entry.sequence {
            entry.answer = Some((sequence, grants));
        }
    }

    fn answer(&mut self, e: usize) {
        let now = self.now;
        let entry = &mut self.entries[e];
        let Some((_, grants)) = entry.answer.take() else {
            return;
        };
        let Some(call) = entry.call.take() else {
            return;
        };
        for outcome in entry.limiter.answered(now, &call, &grants, GRANT_TTL) {
            for _ in 0..outcome.admitted {
                self.admitted.push(now);
            }
        }
    }
}

impl Entry {
    fn start_call(&mut self, now: Time) {
        if self.call.is_some() {
            return;
        }
        let Some(call) = self.limiter.next_call(now) else {
            return;
        };
        self.sequence += 1;
        self.sent
            .push_back((self.incarnation, self.sequence, call.requests.clone()));
        self.call = Some(call);
        self.answer = None;
    }
}

fn customer() -> CustomerId {
    "totara".parse().expect("an id")
}

/// Number of admissions that overdraw an ideal bucket that starts full. It is 0 exactly if no
/// window of length `w` has more than `burst + rate * w` admissions.
fn over(limit: Limit, admitted: &[Time]) -> usize {
    // Levels are in 10^-12 tokens: millionths of a token per second times microseconds.
    let burst = i128::from(limit.burst) * 1_000_000_000_000;
    let mut level = burst;
    let mut last = Time::ZERO;
    let mut over = 0;
    for at in admitted {
        let span = i128::try_from(at.since(last).as_micros()).expect("a span");
        level = (level + i128::from(limit.rate.micros_per_second()) * span).min(burst);
        last = *at;
        if level < 1_000_000_000_000 {
            over += 1;
            continue;
        }
        level -= 1_000_000_000_000;
    }
    over
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn no_window_is_over_the_bound(
        rate in 1u32..200,
        burst in 1u32..60,
        steps in prop::collection::vec(step(), 1..400),
    ) {
        let limit = Limit { rate: Rate::per_second(rate), burst };
        let mut fleet = Fleet::new(limit);
        // The first leader settles, and its bucket fills at least in part, before the first
        // request.
        fleet.run(&Step::Wait(2000));
        for step in &steps {
            fleet.run(step);
        }
        prop_assert_eq!(over(limit, &fleet.admitted), 0);
    }
}

#[test]
fn a_call_that_arrives_twice_is_granted_once() {
    let limit = Limit {
        rate: Rate::per_second(20),
        burst: 40,
    };
    let mut leader = Buckets::new(Time::ZERO);
    let now = Time::from_millis(10_000);
    let holder: HolderId = "entry-1".parse().expect("an id");
    let request = TokenRequest {
        customer: customer(),
        tokens: 5,
        returned: 0,
        held: 0,
    };
    let mut take = |sequence| {
        let holder = (holder.clone(), Incarnation(1));
        leader.take(
            now,
            holder,
            sequence,
            std::slice::from_ref(&request),
            |_| Some(limit),
        )[0]
        .tokens
    };
    assert_eq!(take(2), 5);
    assert_eq!(take(2), 5, "the same answer again");
    assert_eq!(take(1), 0, "an earlier call that was overtaken");
}

#[test]
fn a_new_leader_grants_nothing_until_old_grants_have_expired() {
    let limit = Limit {
        rate: Rate::per_second(20),
        burst: 40,
    };
    let now = Time::from_millis(10_000);
    let mut leader = Buckets::new(now);
    let holder: HolderId = "entry-1".parse().expect("an id");
    let request = TokenRequest {
        customer: customer(),
        tokens: 5,
        returned: 0,
        held: 0,
    };
    let grants = leader.take(now, (holder, Incarnation(1)), 1, &[request], |_| {
        Some(limit)
    });
    // Until GRANT_TTL plus EXPIRY_MARGIN have passed, rounded up to a whole millisecond.
    assert_eq!(
        grants,
        [Granted {
            tokens: 0,
            retry_ms: Some(526),
            settling: true,
        }]
    );
}

#[test]
fn leaders_in_quick_succession_do_not_grant_a_burst_each() {
    let limit = Limit {
        rate: Rate::per_second(100),
        burst: 40,
    };
    let mut granted = 0;
    let mut now = Time::from_millis(10_000);
    let mut leader = Buckets::new(Time::ZERO);
    for entry in 0..3 {
        let holder: HolderId = format!("entry-{entry}").parse().expect("an id");
        let request = TokenRequest {
            customer: customer(),
            tokens: 40,
            returned: 0,
            held: 0,
        };
        let grants = leader.take(now, (holder, Incarnation(1)), 1, &[request], |_| {
            Some(limit)
        });
        granted += grants[0].tokens;
        leader = Buckets::new(now);
        now = now + Duration::from_millis(240);
    }
    // All tokens were granted within 480 ms, so that none has expired and all may be spent at once.
    assert!(granted <= 40, "{granted} tokens are outstanding");
}
