//! Generator of chat traffic and of an unlimited supply of batch items.

use std::time::Duration;

use clem_types::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Duration of a run, in seconds of virtual time.
pub const SECONDS: u64 = 400;
/// Chats per second during and between bursts.
const RATES: (f64, f64) = (25.0, 0.5);
/// Mean duration of bursts and of the gaps between them, in seconds.
const SPANS: (f64, f64) = (2.0, 4.0);
/// Prompt and answer tokens of a chat.
const CHAT: (std::ops::Range<u32>, std::ops::Range<u32>) = (40..600, 20..120);
/// Prompt and answer tokens of a batch item.
const ITEM: (std::ops::Range<u32>, std::ops::Range<u32>) = (100..700, 50..350);

/// Prompt tokens of a batch item with [`Shape::LongPrompts`].
const LONG_PROMPTS: std::ops::Range<u32> = 4000..6000;

/// A chat or a batch item.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Time of arrival; zero for a batch item.
    pub at: Time,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Length of the answer, in tokens.
    pub tokens: u32,
}

/// Traffic pattern of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Chat in bursts, and items of medium length.
    Bursts,
    /// Chat as in a burst all the time.
    Steady,
    /// Chat in bursts, and items whose prefill occupies the engine for a tenth of a second.
    LongPrompts,
}

/// A seeded load; the chats don't depend on how many batch items are generated.
#[derive(Debug)]
pub struct Load {
    chats: ChaCha8Rng,
    items: ChaCha8Rng,
    at: f64,
    /// End of the current burst or gap, in seconds.
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

/// Average ratio of prompt to answer tokens of batch items.
pub fn prompt_ratio() -> f64 {
    f64::from(ITEM.0.start + ITEM.0.end) / f64::from(ITEM.1.start + ITEM.1.end)
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
