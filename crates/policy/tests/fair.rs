//! Shares, bounds and virtual time of the fair queue, under constructed and random loads.

use std::collections::BTreeMap;

use clem_policy::fair::{Bounds, FairQueue, PushResult};
use clem_types::{Time, Tokens};
use proptest::prelude::*;

const END: Time = Time::from_millis(60_000);
const BOUNDS: Bounds = Bounds {
    flow: 64,
    total: 256,
};

/// Serves `turns` items while each of `flows` (weight, cost) stays backlogged; returns the tokens
/// served per flow.
fn serve(flows: &[(u32, u32)], turns: usize) -> Vec<u64> {
    let mut queue = FairQueue::new(BOUNDS);
    let mut served = vec![0; flows.len()];
    for _ in 0..turns {
        for (flow, (weight, cost)) in flows.iter().enumerate() {
            while queue.flow_len(&flow) < 4 {
                queue.push(flow, *weight, Tokens(*cost), END, ());
            }
        }
        let Some(next) = queue.pop() else {
            break;
        };
        served[next.flow] += u64::from(next.cost.0);
    }
    served
}

#[test]
fn busy_flows_share_tokens_and_not_requests() {
    let served = serve(&[(1, 4000), (1, 100)], 4100);
    let share = served[1] as f64 / served[0] as f64;
    assert!((0.9..1.1).contains(&share), "{served:?}");
}

#[test]
fn an_idle_flow_earns_no_credit() {
    let mut queue = FairQueue::new(BOUNDS);
    for _ in 0..50 {
        queue.push("busy", 1, Tokens(10), END, ());
        queue.pop();
    }
    for _ in 0..20 {
        queue.push("busy", 1, Tokens(10), END, ());
        queue.push("idle", 1, Tokens(10), END, ());
    }
    let first: Vec<_> = (0..10)
        .filter_map(|_| queue.pop())
        .map(|next| next.flow)
        .collect();
    let idle = first.iter().filter(|flow| **flow == "idle").count();
    assert!((4..=6).contains(&idle), "{first:?}");
}

#[test]
fn a_pause_clears_no_debt() {
    let mut queue = FairQueue::new(BOUNDS);
    queue.push("heavy", 1, Tokens(1000), END, ());
    queue.push("light", 1, Tokens(10), END, ());
    queue.pop();
    queue.pop();
    // The heavy flow was idle until here and must still pay for its first item.
    queue.push("heavy", 1, Tokens(1000), END, ());
    for _ in 0..20 {
        queue.push("light", 1, Tokens(10), END, ());
    }
    let first: Vec<_> = (0..20)
        .filter_map(|_| queue.pop())
        .map(|next| next.flow)
        .collect();
    assert!(first.iter().all(|flow| *flow == "light"), "{first:?}");
}

#[test]
fn a_full_queue_evicts_from_the_longest_flow() {
    let mut queue = FairQueue::new(Bounds { flow: 8, total: 8 });
    for item in 0..8 {
        queue.push("big", 1, Tokens(1), END, item);
    }
    assert_eq!(queue.push("big", 1, Tokens(1), END, 8), PushResult::Full(8));
    let PushResult::Evicted(_, 7) = queue.push("small", 1, Tokens(1), END, 9) else {
        panic!("the newest item of the big flow was not evicted");
    };
}

#[test]
fn items_past_their_deadline_are_removed() {
    let mut queue = FairQueue::new(BOUNDS);
    queue.push("a", 1, Tokens(1), Time::from_millis(5), 1);
    queue.push("a", 1, Tokens(1), Time::from_millis(9), 2);
    assert_eq!(queue.next_deadline(), Some(Time::from_millis(5)));
    assert_eq!(queue.expire(Time::from_millis(6)), [1]);
    assert_eq!(queue.pop().map(|next| next.item), Some(2));
    assert!(queue.is_empty());
}

#[test]
fn an_item_that_does_not_fit_keeps_its_turn() {
    let mut queue = FairQueue::new(BOUNDS);
    queue.push("a", 1, Tokens(1), END, 1);
    queue.push("b", 1, Tokens(1), END, 2);
    assert_eq!(
        queue.pop_if(|item| *item == 2).map(|next| next.item),
        Some(2)
    );
    assert_eq!(queue.pop().map(|next| next.item), Some(1));
}

#[test]
fn flows_are_charged_their_actual_cost() {
    let mut queue = FairQueue::new(BOUNDS);
    let mut served = BTreeMap::from([("honest", 0), ("long", 0)]);
    for _ in 0..1100 {
        for flow in ["honest", "long"] {
            while queue.flow_len(&flow) < 4 {
                queue.push(flow, 1, Tokens(100), END, ());
            }
        }
        let next = queue.pop().expect("items wait");
        let actual = if next.flow == "long" { 1000 } else { 100 };
        queue.settle(&next.flow, next.cost, Tokens(actual));
        *served.entry(next.flow).or_default() += actual;
    }
    let share = f64::from(served["honest"]) / f64::from(served["long"]);
    assert!((0.9..1.1).contains(&share), "{served:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn shares_follow_weights(flows in prop::collection::vec((1u32..8, 1u32..2000), 2..8)) {
        let served = serve(&flows, 20_000);
        let weights: u64 = flows.iter().map(|(weight, _)| u64::from(*weight)).sum();
        let total: u64 = served.iter().sum();
        for ((weight, cost), got) in flows.iter().zip(&served) {
            let fair = total as f64 * f64::from(*weight) / weights as f64;
            // Shares may differ by one item per flow.
            let slack = f64::from(*cost) + f64::from(*weight) * 2000.0;
            prop_assert!(*got as f64 >= fair - slack, "{got} of {fair}, {flows:?}");
        }
    }
}
