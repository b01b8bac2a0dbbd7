//! Scheduling decisions of the agent's admission, and its invariants under random events.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clem_policy::{Admission, Balance, JobAction, JobId, OnlineRequest, Settings};
use clem_types::{Time, Tokens};
use proptest::prelude::*;

fn admission(streams: usize, balance: u8) -> Admission {
    Admission::new(Settings {
        streams,
        waiting: 100,
        balance: Balance::new(balance).expect("on the scale"),
    })
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn chat(job: u64) -> OnlineRequest {
    OnlineRequest {
        job: JobId(job),
        customer: "totara".parse().ok(),
        weight: 1,
        cost: Tokens(100),
        prompt: 50,
        deadline: Time::from_micros(u64::MAX),
        suspect: false,
    }
}

#[test]
fn a_chat_takes_the_place_of_the_youngest_batch_stream_at_once() {
    let mut admission = admission(2, 50);
    admission.enqueue_batch(at(0), JobId(1), 10, false);
    assert_eq!(admission.decide(at(0)), [JobAction::Start(JobId(1))]);
    admission.token(at(1), JobId(1));
    admission.enqueue_batch(at(1), JobId(2), 10, false);
    assert_eq!(admission.decide(at(1)), [JobAction::Start(JobId(2))]);
    admission.token(at(2), JobId(2));
    admission
        .enqueue_online(at(5), chat(3))
        .expect("there is room");
    let actions = admission.decide(at(5));
    assert_eq!(
        actions,
        [JobAction::Park(JobId(2)), JobAction::Start(JobId(3))]
    );
    admission.end(at(50), JobId(3));
    assert_eq!(admission.decide(at(60)), [JobAction::Resume(JobId(2))]);
}

#[test]
fn a_stream_parked_in_its_first_prefill_is_started_again() {
    let mut admission = admission(1, 50);
    admission.enqueue_batch(at(0), JobId(1), 10, false);
    admission.decide(at(0));
    admission
        .enqueue_online(at(1), chat(2))
        .expect("there is room");
    let actions = admission.decide(at(1));
    assert_eq!(
        actions,
        [JobAction::Park(JobId(1)), JobAction::Start(JobId(2))]
    );
    admission.end(at(20), JobId(2));
    assert_eq!(admission.decide(at(30)), [JobAction::Start(JobId(1))]);
}

#[test]
fn two_suspects_are_never_in_the_engine_together() {
    let mut admission = admission(4, 50);
    for job in [1, 2] {
        let mut request = chat(job);
        request.suspect = true;
        // The fair queue only considers the first request of each customer.
        request.customer = format!("customer-{job}").parse().ok();
        admission
            .enqueue_online(at(0), request)
            .expect("there is room");
    }
    admission.enqueue_batch(at(0), JobId(3), 10, true);
    admission
        .enqueue_online(at(0), chat(4))
        .expect("there is room");
    let actions = admission.decide(at(0));
    assert_eq!(
        actions,
        [JobAction::Start(JobId(1)), JobAction::Start(JobId(4))]
    );
    admission.end(at(9), JobId(1));
    assert_eq!(admission.decide(at(9)), [JobAction::Start(JobId(2))]);
}

#[test]
fn a_full_queue_refuses_and_a_small_customer_takes_the_place_of_a_large_one() {
    let mut admission = Admission::new(Settings {
        streams: 1,
        waiting: 4,
        balance: Balance::DEFAULT,
    });
    for job in 1..=3 {
        let evicted = admission.enqueue_online(at(0), chat(job));
        assert_eq!(
            evicted.is_err(),
            job == 3,
            "a customer gets at most half of the queue"
        );
    }
}

// ------------------------------------------------------------------------

#[derive(Debug, Clone)]
enum Event {
    Chat { prompt: u32, suspect: bool },
    Item { prompt: u32, suspect: bool },
    Token(usize),
    End(usize),
    Wait(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (1..2000_u32, proptest::bool::weighted(0.1))
            .prop_map(|(prompt, suspect)| Event::Chat { prompt, suspect }),
        2 => (1..5000_u32, proptest::bool::weighted(0.1))
            .prop_map(|(prompt, suspect)| Event::Item { prompt, suspect }),
        6 => any::<usize>().prop_map(Event::Token),
        2 => any::<usize>().prop_map(Event::End),
        2 => (0..500_u16).prop_map(Event::Wait),
    ]
}

/// Jobs in the engine, following the actions of the admission.
#[derive(Debug, Default)]
struct Engine {
    running: BTreeMap<u64, bool>,
    parked: BTreeSet<u64>,
    suspects: BTreeSet<u64>,
    chats: BTreeSet<u64>,
}

impl Engine {
    fn act(&mut self, actions: Vec<JobAction>, streams: usize) {
        for action in actions {
            match action {
                JobAction::Start(JobId(job)) => {
                    assert!(!self.running.contains_key(&job) && !self.parked.contains(&job));
                    self.running.insert(job, self.chats.contains(&job));
                }
                JobAction::Resume(JobId(job)) => {
                    assert!(self.parked.remove(&job));
                    self.running.insert(job, false);
                }
                JobAction::Park(JobId(job)) => {
                    assert_eq!(
                        self.running.remove(&job),
                        Some(false),
                        "an online request was parked"
                    );
                    // A later Start or Resume continues it.
                    self.parked.insert(job);
                }
            }
        }
        assert!(self.running.len() <= streams);
        let suspects = self
            .running
            .keys()
            .filter(|job| self.suspects.contains(job));
        assert!(suspects.count() <= 1);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_job_runs_to_its_end(
        streams in 1..8_usize,
        balance in 0..=100_u8,
        events in proptest::collection::vec(event(), 1..200),
    ) {
        let mut admission = admission(streams, balance);
        let mut engine = Engine::default();
        let mut now = Time::ZERO;
        let mut next = 0;
        let mut open = BTreeSet::new();
        for event in events {
            now = now + Duration::from_millis(1);
            match event {
                Event::Chat { prompt, suspect } => {
                    next += 1;
                    let mut request = chat(next);
                    request.prompt = prompt;
                    request.suspect = suspect;
                    if admission.enqueue_online(now, request).is_ok() {
                        open.insert(next);
                        engine.chats.insert(next);
                    }
                    if suspect {
                        engine.suspects.insert(next);
                    }
                }
                Event::Item { prompt, suspect } => {
                    next += 1;
                    admission.enqueue_batch(now, JobId(next), prompt, suspect);
                    open.insert(next);
                    if suspect {
                        engine.suspects.insert(next);
                    }
                }
                Event::Token(index) => {
                    let running: Vec<_> = engine.running.keys().copied().collect();
                    if !running.is_empty() {
                        admission.token(now, JobId(running[index % running.len()]));
                    }
                }
                Event::End(index) => {
                    let jobs: Vec<_> = open.iter().copied().collect();
                    if !jobs.is_empty() {
                        let job = jobs[index % jobs.len()];
                        admission.end(now, JobId(job));
                        open.remove(&job);
                        engine.running.remove(&job);
                        engine.parked.remove(&job);
                    }
                }
                Event::Wait(millis) => now = now + Duration::from_millis(u64::from(millis)),
            }
            let actions = admission.decide(now);
            let actions = restarted(actions, &mut engine);
            engine.act(actions, streams);
        }
        // Without further arrivals, all remaining jobs must run.
        let mut rounds = 0;
        while !open.is_empty() {
            rounds += 1;
            prop_assert!(rounds < 100_000, "never run: {open:?}");
            now = now + Duration::from_millis(20);
            let running: Vec<_> = engine.running.keys().copied().collect();
            for job in running {
                admission.token(now, JobId(job));
                admission.end(now, JobId(job));
                engine.running.remove(&job);
                open.remove(&job);
            }
            let actions = admission.decide(now);
            let actions = restarted(actions, &mut engine);
            engine.act(actions, streams);
        }
    }
}

/// A job that was parked during its first prefill is started again instead of resumed.
fn restarted(actions: Vec<JobAction>, engine: &mut Engine) -> Vec<JobAction> {
    for action in &actions {
        if let JobAction::Start(JobId(job)) = action {
            engine.parked.remove(job);
        }
    }
    actions
}
