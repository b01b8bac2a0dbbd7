//! The agent's policy, and the plain ones that it is measured against.

use std::collections::VecDeque;

use clem_policy::{Admission, Balance, JobAction, JobId, Offer, Settings};
use clem_types::{Time, Tokens};

/// How batch is let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Not at all.
    NoBatch,
    /// As chat is: whatever comes goes to the engine, and batch keeps all its slots full.
    NoPriority,
    /// Always up to this many batch streams.
    FixedSplit(usize),
    /// Into all slots while there is no chat; what runs goes on when chat comes.
    PauseOnBurst,
    /// By the agent's admission.
    Admission(Balance),
}

/// What the engine is told.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    Send(u64),
    Park(u64),
}

/// A policy at work.
pub enum Player {
    Plain {
        policy: Policy,
        slots: usize,
        chats: Vec<u64>,
        batch: Vec<u64>,
        arrived: VecDeque<u64>,
        ready: VecDeque<u64>,
    },
    Admission(Box<Admission>),
}

impl Player {
    pub fn new(policy: Policy, slots: usize) -> Self {
        match policy {
            Policy::NoBatch | Policy::NoPriority | Policy::FixedSplit(_) | Policy::PauseOnBurst => {
                Self::Plain {
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
            Self::Plain { arrived, .. } => arrived.push_back(job),
            Self::Admission(admission) => {
                let offer = Offer {
                    job: JobId(job),
                    customer: None,
                    weight: 1,
                    cost: Tokens(prompt),
                    prompt,
                    deadline: Time::from_micros(u64::MAX),
                    suspect: false,
                };
                admission.offer_online(now, offer).expect("there is room");
            }
        }
    }

    pub fn offer_batch(&mut self, now: Time, job: u64, prompt: u32) {
        match self {
            Self::Plain { ready, .. } => ready.push_back(job),
            Self::Admission(admission) => {
                admission.offer_batch(now, JobId(job), prompt, false);
            }
        }
    }

    pub fn batch_room(&self) -> usize {
        match self {
            Self::Plain {
                policy: Policy::NoBatch,
                ..
            } => 0,
            Self::Plain { slots, ready, .. } => slots.saturating_sub(ready.len()),
            Self::Admission(admission) => admission.batch_room(),
        }
    }

    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        match self {
            Self::Plain {
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
                let steps = admission.decide(now).into_iter();
                let actions = steps.map(|step| match step {
                    JobAction::Start(job) | JobAction::Resume(job) => Action::Send(job.0),
                    JobAction::Park(job) => Action::Park(job.0),
                });
                actions.collect()
            }
        }
    }

    pub fn next_wake(&self, now: Time) -> Option<Time> {
        match self {
            Self::Plain { .. } => None,
            Self::Admission(admission) => admission.next_wake(now),
        }
    }

    pub fn token(&mut self, now: Time, job: u64) {
        match self {
            Self::Plain { .. } => {}
            Self::Admission(admission) => admission.token(now, JobId(job)),
        }
    }

    pub fn ended(&mut self, now: Time, job: u64) {
        match self {
            Self::Plain { chats, batch, .. } => {
                chats.retain(|other| *other != job);
                batch.retain(|other| *other != job);
            }
            Self::Admission(admission) => admission.end(now, JobId(job)),
        }
    }
}
