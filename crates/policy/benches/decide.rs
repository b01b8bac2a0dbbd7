//! Time of one routing, rate limiting or queuing decision at 1,300 replicas and 6,700 customers.

use std::hint::black_box;

use clem_policy::{
    bucket::{Buckets, Limit, TokenRequest},
    fair::{Bounds, FairQueue},
    limiter::Limiter,
    route::{AttemptOutcome, Prefixes, Query, Report, Router, TargetInfo},
};
use clem_rules::Backend;
use clem_types::{CustomerId, HolderId, Incarnation, Rate, Time, Tokens};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const REPLICAS: usize = 1300;
const CUSTOMERS: usize = 6700;

fn backend() -> Backend {
    Backend::Service("s".parse().expect("an id"))
}

fn customers() -> Vec<CustomerId> {
    (0..CUSTOMERS)
        .map(|n| format!("customer-{n}").parse().expect("an id"))
        .collect()
}

fn route(c: &mut Criterion) {
    let mut router = Router::new("z0".parse().expect("an id"));
    let infos = (0..REPLICAS)
        .map(|n| TargetInfo {
            id: format!("t{n}").parse().expect("an id"),
            incarnation: Incarnation(1),
            data_centre: format!("z{}", n % 3).parse().expect("an id"),
            backends: vec![backend()],
            open: true,
        })
        .collect();
    router.update(infos, &[]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let backend = backend();
    let prompt = "a prompt of four kilobytes ".repeat(150);
    let mut n = 0u64;
    c.bench_function("route: pick, send, end and report", |b| {
        b.iter(|| {
            n += 1;
            let now = Time::from_micros(n * 100);
            let owner = if n.is_multiple_of(2) { "a" } else { "b" };
            let prefixes = Prefixes::new(owner, prompt.as_bytes());
            let query = Query {
                backend: &backend,
                prefixes: &prefixes,
                prompt: 1000,
                tried: &[],
            };
            let choice = router.pick(now, &mut rng, &query).expect("a target");
            router.sent(now, &choice, &prefixes);
            router.ended(
                now,
                &choice.target,
                AttemptOutcome::Answered { first: 0.01 },
            );
            router.report(
                now,
                &choice.target,
                Report {
                    streams: 3,
                    tokens: 0,
                },
            );
            black_box(choice);
        });
    });
}

fn limit(c: &mut Criterion) {
    let customers = customers();
    let mut limiter = Limiter::new();
    let mut n = 0usize;
    c.bench_function("limiter: admit one of 6,700 customers", |b| {
        b.iter(|| {
            n += 1;
            let now = Time::from_micros(n as u64 * 10);
            black_box(limiter.admit(now, &customers[n * 7919 % CUSTOMERS]));
        });
    });
    let limit = Limit {
        rate: Rate::per_second(1000),
        burst: 1000,
    };
    let mut buckets = Buckets::new(Time::ZERO);
    let holder: HolderId = "entry-1".parse().expect("an id");
    let mut sequence = 0u64;
    c.bench_function("buckets: one ask of one of 6,700 customers", |b| {
        b.iter(|| {
            sequence += 1;
            let customer = customers[sequence as usize * 7919 % CUSTOMERS].clone();
            let request = TokenRequest {
                customer,
                tokens: 1,
                returned: 0,
                held: 0,
            };
            let now = Time::from_micros(1_000_000 + sequence * 10);
            let holder = (holder.clone(), Incarnation(1));
            black_box(buckets.take(now, holder, sequence, &[request], |_| Some(limit)));
        });
    });
}

fn fair(c: &mut Criterion) {
    let mut queue = FairQueue::new(Bounds {
        flow: 64,
        total: 100_000,
    });
    let end = Time::from_millis(1_000_000);
    for n in 0..CUSTOMERS * 4 {
        queue.push(n % CUSTOMERS, 1, Tokens(100), end, n);
    }
    let mut n = 0;
    c.bench_function("fair queue: pop and push with 6,700 busy customers", |b| {
        b.iter(|| {
            n += 1;
            let next = queue.pop().expect("items");
            queue.push(next.flow, 1, Tokens(50 + n % 100), end, next.item);
        });
    });
}

criterion_group!(benches, route, limit, fair);
criterion_main!(benches);
