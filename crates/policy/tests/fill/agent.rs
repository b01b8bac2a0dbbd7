//! The agent's admission, and the baseline policies that it is compared with.

use std::collections::VecDeque;

use clem_policy::{Admission, Balance, JobAction, JobId, OnlineRequest, Settings};
use clem_types::{Time, Tokens};

/// How batch items share the engine with chats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// No batch.
    NoBatch,
    /// No priorities: chats are sent at once, and as many batch items as the engine has slots are
    /// kept in it.
    NoPriority,
    /// Up to this many batch streams at any time.
    FixedSplit(usize),
    /// All slots while there is no chat; running items are not preempted when chat arrives.
    PauseOnBurst,
    /// The agent's admission.
    Admission(Balance),
}

/// Command to the engine.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    Send(u64),
    Park(u64),
}

/// A simulated agent with one of the policies.
pub enum Agent {
    Baseline {
        policy: Policy,
        slots: usize,
        chats: Vec<u64>,
        batch: Vec<u64>,
        arrived: VecDeque<u64>,
        ready: VecDeque<u64>,
    },
    Admission(Box<Admission>),
}

impl Agent {
    pub fn new(policy: Policy, slots: usize) -> Self {
        match policy {
            Policy::NoBatch | Policy::NoPriority | Policy::FixedSplit(_) | Policy::PauseOnBurst => {
                Self::Baseline {
                    policy,
                    slots,
                    chats: Vec::new(),
                    batch: Vec::new(),
                    arrived: VecDeque::new(),
                    ready: VecDeque::new(),
                }
            }
            Policy::Admission(balance) => Self::Admission(Box::new(Admission::new(Settings {
                streams: slots,
                waiting: 10_000,
                balance,
            }))),
        }
    }

    pub fn offer_chat(&mut self, now: Time, job: u64, prompt: u32) {
        match self {
            Self::Baseline { arrived, .. } => arrived.push_back(job),
            Self::Admission(admission) => {
                let request = OnlineRequest {
                    job: JobId(job),
                    customer: None,
                    weight: 1,
                    cost: Tokens(prompt),
                    prompt,
                    deadline: Time::from_micros(u64::MAX),
                    suspect: false,
                };
                admission
                    .enqueue_online(now, request)
                    .expect("the queue has room");
            }
        }
    }

    pub fn enqueue_batch(&mut self, now: Time, job: u64, prompt: u32) {
        match self {
            Self::Baseline { ready, .. } => ready.push_back(job),
            Self::Admission(admission) => {
                admission.enqueue_batch(now, JobId(job), prompt, false);
            }
        }
    }

    pub fn batch_room(&self) -> usize {
        match self {
            Self::Baseline {
                policy: Policy::NoBatch,
                ..
            } => 0,
            Self::Baseline { slots, ready, .. } => slots.saturating_sub(ready.len()),
            Self::Admission(admission) => admission.batch_room(),
        }
    }

    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        match self {
            Self::Baseline {
                policy,
                slots,
                chats,
                batch,
                arrived,
                ready,
            } => {
                let mut actions = Vec::new();
                for job in arrived.drain(..) {
                    chats.push(job);
                    actions.push(Action::Send(job));
                }
                let limit = match policy {
                    Policy::NoBatch | Policy::Admission(_) => 0,
                    Policy::NoPriority => *slots,
                    Policy::FixedSplit(limit) => *limit,
                    Policy::PauseOnBurst if chats.is_empty() => *slots,
                    Policy::PauseOnBurst => 0,
                };
                while batch.len() < limit {
                    let Some(job) = ready.pop_front() else {
                        break;
                    };
                    batch.push(job);
                    actions.push(Action::Send(job));
                }
                actions
            }
            Self::Admission(admission) => {
                let chosen = admission.decide(now).into_iter();
                let actions = chosen.map(|action| match action {
                    JobAction::Start(job) | JobAction::Resume(job) => Action::Send(job.0),
                    JobAction::Park(job) => Action::Park(job.0),
                });
                actions.collect()
            }
        }
    }

    pub fn next_wake(&self, now: Time) -> Option<Time> {
        match self {
            Self::Baseline { .. } => None,
            Self::Admission(admission) => admission.next_wake(now),
        }
    }

    pub fn token(&mut self, now: Time, job: u64) {
        match self {
            Self::Baseline { .. } => {}
            Self::Admission(admission) => admission.token(now, JobId(job)),
        }
    }

    pub fn ended(&mut self, now: Time, job: u64) {
        match self {
            Self::Baseline { chats, batch, .. } => {
                chats.retain(|other| *other != job);
                batch.retain(|other| *other != job);
            }
            Self::Admission(admission) => admission.end(now, JobId(job)),
        }
    }
}
