//! Bound of the leader's buckets with holders that keep tokens until the last moment.

use std::time::Duration;

use clem_policy::bucket::{Buckets, GRANT_TTL, Limit, TokenRequest};
use clem_types::{CustomerId, HolderId, Incarnation, Rate, Time};
use proptest::prelude::*;

const MICROS: i128 = 1_000_000_000_000;

#[derive(Debug, Clone)]
enum Step {
    Ask {
        holder: usize,
        tokens: u32,
        returned: u32,
        lost: bool,
    },
    Spend {
        holder: usize,
        tokens: u32,
    },
    SpendAll,
    NewLeader,
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0u32..40, 0u32..4, prop::bool::weighted(0.1)).prop_map(
            |(holder, tokens, returned, lost)| Step::Ask { holder, tokens, returned, lost }
        ),
        2 => (0..3usize, 1u32..30).prop_map(|(holder, tokens)| Step::Spend { holder, tokens }),
        2 => Just(Step::SpendAll),
        1 => Just(Step::NewLeader),
        6 => (1u16..260).prop_map(Step::Wait),
    ]
}

/// Remaining tokens of one grant at a holder.
struct Grant {
    tokens: u32,
    until: Time,
}

struct Holder {
    grants: Vec<Grant>,
    sequence: u64,
}

impl Holder {
    fn spend(&mut self, now: Time, tokens: u32) -> u32 {
        let mut spent = 0;
        for grant in &mut self.grants {
            if now >= grant.until {
                grant.tokens = 0;
            }
            let part = grant.tokens.min(tokens - spent);
            grant.tokens -= part;
            spent += part;
        }
        self.grants.retain(|grant| grant.tokens > 0);
        spent
    }
}

/// Runs a schedule; returns how many tokens were spent over the bound.
fn run(limit: Limit, steps: &[Step]) -> u32 {
    let customer: CustomerId = "totara".parse().expect("an id");
    let mut now = Time::from_millis(2000);
    let mut leader = Buckets::new(Time::ZERO);
    let mut holders: Vec<Holder> = (0..3)
        .map(|_| Holder {
            grants: Vec::new(),
            sequence: 0,
        })
        .collect();
    let full = i128::from(limit.burst) * MICROS;
    let mut level = full;
    let mut over = 0;
    for step in steps {
        let mut spent = 0;
        match *step {
            Step::Wait(ms) => {
                let span = Duration::from_millis(ms.into());
                now = now + span;
                let due = i128::from(limit.rate.micros_per_second()) * i128::from(ms) * 1000;
                level = (level + due).min(full);
            }
            Step::NewLeader => leader = Buckets::new(now),
            Step::Spend { holder, tokens } => spent = holders[holder].spend(now, tokens),
            Step::SpendAll => {
                spent = holders
                    .iter_mut()
                    .map(|holder| holder.spend(now, u32::MAX))
                    .sum();
            }
            Step::Ask {
                holder: index,
                tokens,
                returned,
                lost,
            } => {
                let holder = &mut holders[index];
                let returned = holder.spend(now, returned);
                let held = holder.grants.iter().map(|grant| grant.tokens).sum();
                holder.sequence += 1;
                let id: HolderId = format!("entry-{index}").parse().expect("an id");
                let request = TokenRequest {
                    customer: customer.clone(),
                    tokens,
                    returned,
                    held,
                };
                let id = (id, Incarnation(1));
                let grants = leader.take(now, id, holder.sequence, &[request], |_| Some(limit));
                if !lost {
                    holder.grants.push(Grant {
                        tokens: grants[0].tokens,
                        until: now + GRANT_TTL,
                    });
                }
            }
        }
        for _ in 0..spent {
            if level < MICROS {
                over += 1;
                continue;
            }
            level -= MICROS;
        }
    }
    over
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn hoarded_tokens_never_exceed_the_bound(
        rate in 1u32..200,
        burst in 1u32..60,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let limit = Limit { rate: Rate::per_second(rate), burst };
        prop_assert_eq!(run(limit, &steps), 0);
    }
}

#[test]
fn a_grant_occupies_capacity_until_it_expires() {
    let limit = Limit {
        rate: Rate::per_second(20),
        burst: 40,
    };
    let ask = |holder| Step::Ask {
        holder,
        tokens: 20,
        returned: 0,
        lost: false,
    };
    let steps = [
        ask(0),
        Step::Wait(499),
        Step::SpendAll,
        Step::Wait(501),
        ask(1),
        Step::SpendAll,
        ask(1),
        Step::SpendAll,
    ];
    assert_eq!(run(limit, &steps), 0);
}
