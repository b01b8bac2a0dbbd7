//! One engine with its agent in virtual time: seeded bursts of chat, and batch without end.

// The test and the plot each use a part of this.
#![allow(dead_code, unreachable_pub)]

mod load;
mod player;

use std::{collections::HashMap, time::Duration};

use clem_fake::model::{Engine, Options, Output, Work};
use clem_fake::prefix::Prompt;
use clem_types::Time;

pub use load::{Load, Request, SECONDS, Shape};
pub use player::{Action, Player, Policy};

/// What a run brought.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Time to first token of 99 in 100 chats.
    pub first_p99: Duration,
    /// Time between tokens of 95 in 100 chat tokens.
    pub between_p95: Duration,
    /// Batch tokens, each counted once.
    pub batch_tokens: u64,
    /// Batch items that ended.
    pub batch_items: u64,
    /// Chats that ended.
    pub chats: u64,
    /// Time in which the engine held no chat.
    pub idle: Duration,
    /// Steps in which the engine held chat, by the count of chats.
    pub busy_steps: u64,
    /// Batch tokens that a perfect filler gets out of the busy steps.
    pub busy_room: u64,
    /// The longest that a batch item took from its start to its end.
    pub longest_item: Duration,
    /// Batch tokens that came while the engine held chat.
    pub busy_tokens: u64,
}

/// A stream that the engine has or had.
#[derive(Debug)]
struct Running {
    request: Request,
    prompt: Prompt,
    is_chat: bool,
    arrived: Time,
    last: Option<Time>,
    tokens: u32,
}

/// The run of one policy on one load.
pub struct Run {
    engine: Engine,
    options: Options,
    player: Player,
    load: Load,
    streams: HashMap<u64, Running>,
    next: u64,
    firsts: Vec<Duration>,
    gaps: Vec<Duration>,
    figures: Figures,
    chats: usize,
    changed: Time,
}

/// The share by which the perfect filler may slow a step with chat.
const BOUND: f64 = 0.10;

impl Run {
    pub fn new(seed: u64, shape: Shape, policy: Policy) -> Self {
        let options = Options::default();
        Self {
            engine: Engine::new(options.clone()),
            player: Player::new(policy, options.slots),
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

    /// Plays the whole load.
    pub fn figures(mut self) -> Figures {
        let end = Time::from_millis(SECONDS * 1000);
        let mut now = Time::ZERO;
        let mut chat = self.load.next_chat();
        self.offer_batch(now);
        self.act(now);
        loop {
            let wakes = [
                self.engine.next_wake(),
                self.player.next_wake(now),
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
            self.offer_batch(now);
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
        self.player.offer_chat(now, job, request.prompt);
    }

    fn offer_batch(&mut self, now: Time) {
        for _ in 0..self.player.batch_room() {
            let request = self.load.next_item();
            let job = self.add(now, request, false);
            self.player.offer_batch(now, job, request.prompt);
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
        for action in self.player.decide(now) {
            match action {
                Action::Send(job) => {
                    let stream = &self.streams[&job];
                    let work = Work {
                        id: job.to_string().into(),
                        prompt: stream.prompt.clone(),
                        first: stream.tokens,
                        total: stream.request.tokens,
                    };
                    self.engine.submit(now, work).expect("the engine takes it");
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
            let extra = step.as_secs_f64() * BOUND / self.options.per_stream.as_secs_f64();
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
        self.player.token(now, job);
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
        self.player.ended(now, job);
    }

    /// Enters the time since the last change of the count of chats.
    fn count_time(&mut self, now: Time) {
        if self.chats == 0 {
            self.figures.idle += now.since(self.changed);
        }
        self.changed = now;
    }
}

/// The batch tokens that a filler would get which knows all arrivals, needs no time to change
/// over, and slows no step with chat by more than the bound, given a run without batch.
///
/// It reads all prompts in while there is no chat, and fills every slot then.
pub fn perfect(alone: &Figures) -> u64 {
    let options = Options::default();
    let slots = options.slots as f64;
    let step = options.step.as_secs_f64() + options.per_stream.as_secs_f64() * slots;
    let prefill = load::prompt_share() * options.per_prompt_token.as_secs_f64();
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
