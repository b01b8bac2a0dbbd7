//! Memory used by the state of routing and rate limiting at 1,300 replicas and 6,700 customers.

use clem_policy::{
    bucket::{Buckets, Limit, TokenRequest},
    fair::{Bounds, FairQueue},
    limiter::Limiter,
    route::{Prefixes, Query, Router, TargetInfo},
};
use clem_rules::Backend;
use clem_types::{CustomerId, HolderId, Incarnation, Rate, Time, Tokens};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const REPLICAS: usize = 1300;
const CUSTOMERS: usize = 6700;
const MAX_KB: u64 = 32 * 1024;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("a size")
}

fn router() -> Router {
    let backend = Backend::Service("s".parse().expect("an id"));
    let info = |n: usize| TargetInfo {
        id: format!("target-{n}").parse().expect("an id"),
        incarnation: Incarnation(1),
        data_centre: format!("z{}", n % 3).parse().expect("an id"),
        backends: vec![backend.clone()],
        open: true,
    };
    let mut router = Router::new("z0".parse().expect("an id"));
    router.update((0..REPLICAS).map(info).collect(), &[]);
    // More prefixes than the affinity table holds.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for n in 0..20_000 {
        let prefixes = Prefixes::new("c", format!("prompt {n} ").repeat(100).as_bytes());
        let query = Query {
            backend: &backend,
            prefixes: &prefixes,
            prompt: 300,
            tried: &[],
        };
        let choice = router.pick(Time::ZERO, &mut rng, &query).expect("a target");
        router.sent(Time::ZERO, &choice, &prefixes);
    }
    router
}

#[test]
fn state_for_decisions_fits_the_bound() {
    let before = resident_kb();
    let router = router();
    let customers: Vec<CustomerId> = (0..CUSTOMERS)
        .map(|n| format!("customer-{n}").parse().expect("an id"))
        .collect();
    let mut limiter = Limiter::new();
    let mut buckets = Buckets::new(Time::ZERO);
    let mut queue = FairQueue::new(Bounds {
        flow: 64,
        total: 100_000,
    });
    let limit = Limit {
        rate: Rate::per_second(10),
        burst: 20,
    };
    let now = Time::from_millis(10_000);
    for (n, customer) in customers.iter().enumerate() {
        limiter.admit(now, customer);
        let holder: HolderId = format!("entry-{}", n % 40).parse().expect("an id");
        let request = TokenRequest {
            customer: customer.clone(),
            tokens: 2,
            returned: 0,
            held: 0,
        };
        let holder = (holder, Incarnation(1));
        buckets.take(now, holder, n as u64 + 1, &[request], |_| Some(limit));
        for _ in 0..4 {
            queue.push(customer.clone(), 1, Tokens(100), now, n as u64);
        }
    }
    let held = resident_kb().saturating_sub(before);
    println!("BOUND state for decisions: {held} KB, at most {MAX_KB}");
    assert!(held < MAX_KB, "{held} KB");
    drop((router, limiter, buckets, queue));
}
