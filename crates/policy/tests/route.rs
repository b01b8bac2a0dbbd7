//! Choice, ejection and readmission of targets; retry budget and jitter; poison table.

use std::{collections::HashMap, time::Duration};

use clem_policy::{
    poison::{PoisonTable, Suspicion},
    retry::{Failure, RetryBudget, Verdict, jitter},
    route::{AttemptOutcome, Choice, Prefixes, Query, Reason, Router, TargetInfo},
};
use clem_rules::Backend;
use clem_types::{BodyHash, Incarnation, TargetId, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn backend() -> Backend {
    Backend::Service("s".parse().expect("an id"))
}

fn info(name: &str, zone: &str) -> TargetInfo {
    TargetInfo {
        id: name.parse().expect("an id"),
        incarnation: Incarnation(1),
        data_centre: zone.parse().expect("an id"),
        backends: vec![backend()],
        open: true,
    }
}

struct Test {
    router: Router,
    rng: ChaCha8Rng,
    now: Time,
}

impl Test {
    fn new(targets: &[(&str, &str)]) -> Self {
        let mut router = Router::new("home".parse().expect("an id"));
        router.update(
            targets
                .iter()
                .map(|(name, zone)| info(name, zone))
                .collect(),
            &[],
        );
        Self {
            router,
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Time::from_millis(1000),
        }
    }

    fn pick(&mut self, tried: &[TargetId]) -> Option<Choice> {
        let backend = backend();
        let prefixes = Prefixes::default();
        let query = Query {
            backend: &backend,
            prefixes: &prefixes,
            prompt: 10,
            tried,
        };
        self.router.pick(self.now, &mut self.rng, &query)
    }

    /// Sends `count` requests in sequence, which fail at the targets in `bad`; returns the number
    /// of requests by target.
    fn send(&mut self, count: usize, bad: &[&str]) -> HashMap<String, usize> {
        let mut sent: HashMap<String, usize> = HashMap::new();
        for _ in 0..count {
            let choice = self.pick(&[]).expect("a target");
            let name = choice.target.as_str().to_owned();
            self.router.sent(self.now, &choice, &Prefixes::default());
            self.now = self.now + Duration::from_millis(2);
            let failed = bad.contains(&name.as_str());
            let ended = if failed {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Answered { first: 0.01 }
            };
            self.router.ended(self.now, &choice.target, ended);
            *sent.entry(name).or_default() += 1;
        }
        sent
    }
}

const FOUR: [(&str, &str); 4] = [("a", "home"), ("b", "home"), ("c", "home"), ("d", "home")];

#[test]
fn a_failing_target_is_ejected_and_readmitted() {
    let mut test = Test::new(&FOUR);
    let sent = test.send(400, &["b"]);
    assert!(sent["b"] <= 6, "not ejected: {sent:?}");
    test.now = test.now + Duration::from_secs(40);
    let sent = test.send(400, &[]);
    assert!(sent["b"] >= 50, "not readmitted: {sent:?}");
}

#[test]
fn at_most_half_of_a_failing_pool_is_ejected() {
    let mut test = Test::new(&FOUR);
    let sent = test.send(400, &["a", "b", "c", "d"]);
    let used = sent.values().filter(|count| **count >= 20).count();
    assert!(used >= 2, "more than half ejected: {sent:?}");
    let mut alone = Test::new(&[("a", "home")]);
    assert_eq!(alone.send(50, &["a"])["a"], 50);
}

#[test]
fn the_local_data_centre_is_preferred_and_work_spills_over() {
    let mut test = Test::new(&[("a", "home"), ("b", "home"), ("c", "away")]);
    let sent = test.send(200, &[]);
    assert!(!sent.contains_key("c"), "{sent:?}");
    // Without open local targets, the other data centre is used.
    let mut closed = [info("a", "home"), info("b", "home")];
    for target in &mut closed {
        target.open = false;
    }
    test.router.update(closed.to_vec(), &[]);
    let choice = test.pick(&[]).expect("a target");
    assert_eq!(
        (choice.target.as_str(), choice.reason),
        ("c", Reason::Spill)
    );
    // A local backlog spills over as well.
    let mut test = Test::new(&[("a", "home"), ("c", "away")]);
    let mut away = 0;
    for _ in 0..40 {
        let choice = test.pick(&[]).expect("a target");
        test.router.sent(test.now, &choice, &Prefixes::default());
        away += usize::from(choice.target.as_str() == "c");
    }
    assert!((8..=20).contains(&away), "{away}");
}

#[test]
fn tried_and_closed_targets_are_not_chosen() {
    let mut test = Test::new(&FOUR);
    let tried: Vec<TargetId> = ["a", "b", "c"]
        .map(|id| id.parse().expect("an id"))
        .to_vec();
    for _ in 0..50 {
        assert_eq!(test.pick(&tried).expect("a target").target.as_str(), "d");
    }
    test.router
        .update(Vec::new(), &["d".parse().expect("an id")]);
    assert!(test.pick(&tried).is_none());
}

#[test]
fn a_conversation_stays_where_its_prefix_is() {
    let mut test = Test::new(&FOUR);
    let backend = backend();
    let mut text = "a long system prompt ".repeat(100);
    let mut last: Option<TargetId> = None;
    for turn in 0..10 {
        let prefixes = Prefixes::new("totara", text.as_bytes());
        let prompt = text.len() as u32 / 4;
        let query = Query {
            backend: &backend,
            prefixes: &prefixes,
            prompt,
            tried: &[],
        };
        let choice = test
            .router
            .pick(test.now, &mut test.rng, &query)
            .expect("a target");
        test.router.sent(test.now, &choice, &prefixes);
        test.now = test.now + Duration::from_millis(500);
        test.router.ended(
            test.now,
            &choice.target,
            AttemptOutcome::Answered { first: 0.01 },
        );
        if let Some(last) = &last {
            assert_eq!((&choice.target, choice.reason), (last, Reason::Affinity));
        }
        last = Some(choice.target);
        text += &format!("turn {turn} ");
    }
    // The same text of another customer has a different prefix hash.
    let other = Prefixes::new("botez", text.as_bytes());
    assert_ne!(
        other.first(),
        Prefixes::new("totara", text.as_bytes()).first()
    );
}

#[test]
fn only_safe_requests_are_retried_within_the_budget() {
    let now = Time::from_millis(1000);
    let later = Time::from_millis(9000);
    let mut budget = RetryBudget::default();
    let not_run = budget.decide(now, later, 1, false, Failure::NotRun);
    assert_eq!(not_run, Verdict::Retry, "confirmed not run");
    let unsafe_one = budget.decide(now, later, 1, false, Failure::MayHaveRun);
    assert_eq!(unsafe_one, Verdict::GiveUp, "it may have run");
    assert_eq!(
        budget.decide(now, now, 1, true, Failure::NotRun),
        Verdict::GiveUp,
        "too late"
    );
    assert_eq!(
        budget.decide(now, later, 3, true, Failure::NotRun),
        Verdict::GiveUp
    );
    let mut retries = 0;
    for _ in 0..1000 {
        budget.first();
        let verdict = budget.decide(now, later, 1, true, Failure::MayHaveRun);
        retries += u32::from(verdict == Verdict::Retry);
    }
    assert!(
        (100..=120).contains(&retries),
        "not a tenth plus the initial budget: {retries}"
    );
}

#[test]
fn jitter_spreads_the_retries_of_callers() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let times: Vec<u32> = (0..200).map(|_| jitter(&mut rng, 1000)).collect();
    assert!(times.iter().all(|ms| (1000..=1500).contains(ms)));
    let early = times.iter().filter(|ms| **ms < 1250).count();
    assert!((70..130).contains(&early), "{early}");
}

#[test]
fn poison_is_found_by_customer_and_body() {
    let mut table = PoisonTable::default();
    let body = BodyHash::of(b"crash");
    let customer: clem_types::CustomerId = "totara".parse().expect("an id");
    table.replace([(Some(customer.clone()), body, Suspicion::Poison)].into_iter());
    assert_eq!(table.find(Some(&customer), body), Some(Suspicion::Poison));
    assert_eq!(table.find(None, body), None);
    assert_eq!(table.find(Some(&customer), BodyHash::of(b"other")), None);
}
