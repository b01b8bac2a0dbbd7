//! Simulation of one engine and its agent in virtual time, under seeded chat traffic and an
//! unlimited supply of batch items.

// The test and the example each use a part of this.
#![allow(dead_code, unreachable_pub)]

mod agent;
mod load;

use std::{collections::HashMap, time::Duration};

use clem_fake::model::{Engine, Options, Output, Work};
use clem_fake::prefix::Prompt;
use clem_types::Time;

pub use agent::{Action, Agent, Policy};
pub use load::{Load, Request, SECONDS, Shape};

/// Results of a run.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// 99th percentile of the chats' time to first token.
    pub first_p99: Duration,
    /// 95th percentile of the time between tokens of chats.
    pub between_p95: Duration,
    /// Number of generated batch tokens; none is generated twice.
    pub batch_tokens: u64,
    /// Number of finished batch items.
    pub batch_items: u64,
    /// Number of finished chats.
    pub chats: u64,
    /// Total time without chats in the engine.
    pub idle: Duration,
    /// Number of steps with chats in the engine.
    pub busy_steps: u64,
    /// Batch tokens that the perfect scheduler gets out of the busy steps.
    pub busy_room: u64,
    /// Longest time of a batch item from being offered to its end.
    pub longest_item: Duration,
    /// Batch tokens that were generated in steps with chats in the engine.
    pub busy_tokens: u64,
}

/// A chat or batch item that has been offered and not finished.
#[derive(Debug)]
struct Running {
    request: Request,
    prompt: Prompt,
    is_chat: bool,
    arrived: Time,
    last: Option<Time>,
    tokens: u32,
}

/// Simulation of one policy under one load.
pub struct Run {
    engine: Engine,
    options: Options,
    agent: Agent,
    load: Load,
    streams: HashMap<u64, Running>,
    next: u64,
    firsts: Vec<Duration>,
    gaps: Vec<Duration>,
    figures: Figures,
    chats: usize,
    changed: Time,
}

/// Fraction by which the perfect scheduler may slow a step with chats.
const SLOWDOWN: f64 = 0.10;

impl Run {
    pub fn new(seed: u64, shape: Shape, policy: Policy) -> Self {
        let options = Options::default();
        Self {
            engine: Engine::new(options.clone()),
            agent: Agent::new(policy, options.slots),
            options,
            load: Load::new(seed, shape),
            streams: HashMap::new(),
            next: 0,
            firsts: Vec::new(),
            gaps: Vec::new(),
            figures: Figures {
                first_p99: Duration::ZERO,
                between_p95: Duration::ZERO,
                batch_tokens: 0,
                batch_items: 0,
                chats: 0,
                idle: Duration::ZERO,
                busy_steps: 0,
                busy_room: 0,
                longest_item: Duration::ZERO,
                busy_tokens: 0,
            },
            chats: 0,
            changed: Time::ZERO,
        }
    }

    /// Runs the whole load.
    pub fn figures(mut self) -> Figures {
        let end = Time::from_millis(SECONDS * 1000);
        let mut now = Time::ZERO;
        let mut chat = self.load.next_chat();
        self.enqueue_batch(now);
        self.act(now);
        loop {
            let wakes = [
                self.engine.next_wake(),
                self.agent.next_wake(now),
                Some(chat.at),
            ];
            now = wakes.into_iter().flatten().min().unwrap_or(end).max(now);
            if now >= end {
                break;
            }
            self.advance(now);
            while chat.at <= now {
                self.offer_chat(now, chat);
                chat = self.load.next_chat();
            }
            self.enqueue_batch(now);
            self.act(now);
        }
        self.count_time(end);
        self.figures.first_p99 = quantile(&mut self.firsts, 0.99);
        self.figures.between_p95 = quantile(&mut self.gaps, 0.95);
        self.figures
    }

    fn offer_chat(&mut self, now: Time, request: Request) {
        self.count_time(now);
        self.chats += 1;
        let job = self.add(now, request, true);
        self.agent.offer_chat(now, job, request.prompt);
    }

    fn enqueue_batch(&mut self, now: Time) {
        for _ in 0..self.agent.batch_room() {
            let request = self.load.next_item();
            let job = self.add(now, request, false);
            self.agent.enqueue_batch(now, job, request.prompt);
        }
    }

    fn add(&mut self, now: Time, request: Request, is_chat: bool) -> u64 {
        self.next += 1;
        let text = format!("{:08} ", self.next).repeat(request.prompt as usize * 4 / 9 + 1);
        let prompt = Prompt::new("", &text[..request.prompt as usize * 4]);
        let running = Running {
            request,
            prompt,
            is_chat,
            arrived: now,
            last: None,
            tokens: 0,
        };
        self.streams.insert(self.next, running);
        self.next
    }

    fn act(&mut self, now: Time) {
        for action in self.agent.decide(now) {
            match action {
                Action::Send(job) => {
                    let stream = &self.streams[&job];
                    let work = Work {
                        id: job.to_string().into(),
                        prompt: stream.prompt.clone(),
                        first: stream.tokens,
                        total: stream.request.tokens,
                    };
                    self.engine
                        .submit(now, work)
                        .expect("the engine accepts it");
                }
                Action::Park(job) => {
                    self.engine
                        .park(&job.to_string())
                        .expect("it is in the engine");
                }
            }
        }
    }

    fn advance(&mut self, now: Time) {
        let outputs = self.engine.advance(now);
        if !outputs.is_empty() && self.chats > 0 {
            let step = self.options.step + self.options.per_stream * self.chats as u32;
            let extra = step.as_secs_f64() * SLOWDOWN / self.options.per_stream.as_secs_f64();
            let free = self.options.slots.saturating_sub(self.chats);
            self.figures.busy_steps += 1;
            self.figures.busy_room += (extra as u64).min(free as u64);
        }
        for output in outputs {
            match output {
                Output::Token { id, .. } => self.token(now, id.parse().expect("a job")),
                Output::Finished { id, .. } => self.finished(now, id.parse().expect("a job")),
            }
        }
    }

    fn token(&mut self, now: Time, job: u64) {
        let stream = self.streams.get_mut(&job).expect("it is here");
        stream.tokens += 1;
        let last = stream.last.replace(now);
        if stream.is_chat {
            match last {
                None => self.firsts.push(now.since(stream.arrived)),
                Some(last) => self.gaps.push(now.since(last)),
            }
        } else {
            self.figures.batch_tokens += 1;
            self.figures.busy_tokens += u64::from(self.chats > 0);
        }
        self.agent.token(now, job);
    }

    fn finished(&mut self, now: Time, job: u64) {
        let stream = self.streams.remove(&job).expect("it is here");
        if stream.is_chat {
            self.count_time(now);
            self.chats -= 1;
            self.figures.chats += 1;
        } else {
            self.figures.batch_items += 1;
            let took = now.since(stream.arrived);
            self.figures.longest_item = self.figures.longest_item.max(took);
        }
        self.agent.ended(now, job);
    }

    /// Adds the time since the last change in the number of chats.
    fn count_time(&mut self, now: Time) {
        if self.chats == 0 {
            self.figures.idle += now.since(self.changed);
        }
        self.changed = now;
    }
}

/// Batch tokens of a perfect scheduler, computed from a run without batch.
///
/// It knows all arrivals, switches in no time and slows no step with chats by more than
/// [`SLOWDOWN`]. All its prefills run while there is no chat, and it fills every slot then.
pub fn perfect(alone: &Figures) -> u64 {
    let options = Options::default();
    let slots = options.slots as f64;
    let step = options.step.as_secs_f64() + options.per_stream.as_secs_f64() * slots;
    let prefill = load::prompt_ratio() * options.per_prompt_token.as_secs_f64();
    let busy = alone.busy_room as f64;
    let idle = alone.idle.as_secs_f64() - busy * prefill;
    let filled = idle / (step / slots + prefill);
    (busy + filled) as u64
}

fn quantile(values: &mut [Duration], share: f64) -> Duration {
    values.sort_unstable();
    if values.is_empty() {
        return Duration::ZERO;
    }
    values[((values.len() - 1) as f64 * share) as usize]
}
