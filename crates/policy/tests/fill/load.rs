//! Chat in bursts, and batch items without end.

use std::time::Duration;

use clem_types::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How long a run lasts in virtual time.
pub const SECONDS: u64 = 400;
/// Chats a second within a burst, and between bursts.
const RATES: (f64, f64) = (25.0, 0.5);
/// The mean length of a burst and of the time between bursts, in seconds.
const SPANS: (f64, f64) = (2.0, 4.0);
/// Prompt and answer tokens of a chat.
const CHAT: (std::ops::Range<u32>, std::ops::Range<u32>) = (40..600, 20..120);
/// Prompt and answer tokens of a batch item.
const ITEM: (std::ops::Range<u32>, std::ops::Range<u32>) = (100..700, 50..350);

/// Prompt tokens of a long item.
const LONG_PROMPTS: std::ops::Range<u32> = 4000..6000;

/// A chat or an item.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// When it arrives; zero for an item.
    pub at: Time,
    /// Its prompt tokens.
    pub prompt: u32,
    /// The tokens of its answer.
    pub tokens: u32,
}

/// The kind of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Chat in bursts, items of middling length.
    Bursts,
    /// Chat without a pause.
    Steady,
    /// Chat in bursts, items with prompts that hold the engine for a tenth of a second.
    LongPrompts,
}

/// A seeded load; chats are the same whatever happens to batch.
#[derive(Debug)]
pub struct Load {
    chats: ChaCha8Rng,
    items: ChaCha8Rng,
    at: f64,
    /// When the burst, or the time between two, ends.
    until: f64,
    in_burst: bool,
    shape: Shape,
}

impl Load {
    pub fn new(seed: u64, shape: Shape) -> Self {
        Self {
            chats: ChaCha8Rng::seed_from_u64(seed),
            items: ChaCha8Rng::seed_from_u64(seed ^ 0xb47c),
            at: 0.0,
            until: 0.0,
            in_burst: true,
            shape,
        }
    }

    pub fn next_chat(&mut self) -> Request {
        loop {
            let rate = if self.in_burst { RATES.0 } else { RATES.1 };
            let next = self.at + exponential(&mut self.chats, 1.0 / rate);
            if next < self.until {
                self.at = next;
                break;
            }
            self.at = self.until;
            self.in_burst = !self.in_burst || self.shape == Shape::Steady;
            let mean = if self.in_burst { SPANS.0 } else { SPANS.1 };
            self.until += exponential(&mut self.chats, mean);
        }
        Request {
            at: Time::ZERO + Duration::from_secs_f64(self.at),
            prompt: self.chats.random_range(CHAT.0),
            tokens: self.chats.random_range(CHAT.1),
        }
    }

    pub fn next_item(&mut self) -> Request {
        Request {
            at: Time::ZERO,
            prompt: match self.shape {
                Shape::Bursts | Shape::Steady => self.items.random_range(ITEM.0),
                Shape::LongPrompts => self.items.random_range(LONG_PROMPTS),
            },
            tokens: self.items.random_range(ITEM.1),
        }
    }
}

/// Prompt tokens of a batch item for each token of its answer, on average.
pub fn prompt_share() -> f64 {
    f64::from(ITEM.0.start + ITEM.0.end) / f64::from(ITEM.1.start + ITEM.1.end)
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
