//! The batching model of the engine, a pure state machine without clock, I/O or randomness.
//!
//! Streams are admitted in order of arrival, without priorities. The engine runs in steps. The
//! duration of a step depends on the number of streams and of uncached prompt tokens in the batch.
//! At its end each stream whose prefill is complete gets one more token. The README of this crate
//! has the rules.

mod cache;

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    sync::Arc,
    time::Duration,
};

use clem_types::Time;

use self::cache::{Cache, Entry};
use crate::{
    prefix::{BlockHash, Prompt, TOKENS_PER_BLOCK},
    tokens::PromptHash,
};

/// The id of a stream, chosen by its caller and unique among live streams.
pub type StreamId = Arc<str>;

/// The result of submitting a stream.
pub type Result<T> = std::result::Result<T, SubmitError>;

/// Why a stream is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// Another live stream has this id.
    DuplicateId,
    /// Prompt and answer together exceed the KV memory.
    TooLarge,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DuplicateId => "another live stream has this id",
            Self::TooLarge => "prompt and answer don't fit into the KV memory",
        })
    }
}

impl std::error::Error for SubmitError {}

/// The speed and the capacity of the engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// The base duration of a step.
    pub step: Duration,
    /// The duration added for each stream in the batch.
    pub per_stream: Duration,
    /// The duration added for each uncached prompt token.
    pub per_prompt_token: Duration,
    /// The most prompt tokens in one step; `None` computes each prefill in one step.
    pub prefill_chunk: Option<u32>,
    /// The most streams in the batch.
    pub slots: usize,
    /// The size of the KV memory, in blocks of [`TOKENS_PER_BLOCK`] tokens.
    pub cache_blocks: usize,
    /// The factor that multiplies the duration of each step; 1 is normal speed.
    pub slow_factor: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            step: Duration::from_micros(2000),
            per_stream: Duration::from_micros(100),
            per_prompt_token: Duration::from_micros(20),
            prefill_chunk: None,
            slots: 16,
            cache_blocks: 4096,
            slow_factor: 1,
        }
    }
}

/// One stream to generate.
#[derive(Debug, Clone)]
pub struct Work {
    /// The id under which it can be cancelled and parked.
    pub id: StreamId,
    /// The length and the hashes of the prompt.
    pub prompt: Prompt,
    /// The number of tokens that the caller already has, which is the index of the first one
    /// generated.
    pub first: u32,
    /// The number of tokens of the whole answer, including those before `first`.
    pub total: u32,
}

impl Work {
    /// Creates a stream that generates `total` tokens from the start.
    pub fn new(id: &str, prompt: Prompt, total: u32) -> Self {
        Self {
            id: id.into(),
            prompt,
            first: 0,
            total,
        }
    }

    fn reserved_blocks(&self) -> usize {
        blocks_for(self.prompt.tokens.saturating_add(self.total))
    }
}

/// A result of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A stream generated a token.
    Token {
        /// The stream.
        id: StreamId,
        /// The index of the token in the whole answer.
        index: u32,
    },
    /// A stream generated its last token and was removed from the engine.
    Finished {
        /// The stream.
        id: StreamId,
        /// The number of prompt tokens that needed no prefill.
        cached: u32,
    },
}

/// A change to the set of cached prompt blocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were added.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Removed(Vec<BlockHash>),
}

/// The load of the engine at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of streams in the batch.
    pub running: usize,
    /// The number of streams that wait for admission.
    pub waiting: usize,
    /// The number of KV blocks that are reserved, cached or parked.
    pub kv_used: usize,
    /// The total number of KV blocks.
    pub kv_capacity: usize,
    /// The duration of the latest step.
    pub step: Duration,
}

/// The KV of a parked stream, which can be exported and imported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parked {
    /// The hash of the prompt, by which a resumed stream finds it.
    pub prompt: PromptHash,
    /// The number of tokens generated.
    pub tokens: u32,
    /// The memory in KV blocks.
    pub blocks: usize,
}

#[derive(Debug)]
struct Stream {
    work: Work,
    /// The index of the next token.
    next: u32,
    cached: u32,
    /// The number of tokens that still need prefill.
    prefill: u32,
    /// The tokens prefilled in the current step; `None` when the stream isn't part of it.
    in_step: Option<u32>,
}

/// The state of the engine: its streams, its KV memory and the current step.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    running: Vec<Stream>,
    waiting: VecDeque<Work>,
    step_end: Option<Time>,
    step: Duration,
    cache: Cache,
    parked: HashMap<PromptHash, Parked>,
    changes: Vec<CacheChange>,
    frozen: bool,
}

impl Engine {
    /// Creates an idle engine with empty KV memory.
    pub fn new(options: Options) -> Self {
        Self {
            step: options.step,
            options,
            running: Vec::new(),
            waiting: VecDeque::new(),
            step_end: None,
            cache: Cache::default(),
            parked: HashMap::new(),
            changes: Vec::new(),
            frozen: false,
        }
    }

    /// Queues a stream; an idle engine starts a step with it at once.
    pub fn submit(&mut self, now: Time, work: Work) -> Result<()> {
        if work.reserved_blocks() > self.options.cache_blocks {
            return Err(SubmitError::TooLarge);
        }
        if self.is_live(&work.id) {
            return Err(SubmitError::DuplicateId);
        }
        self.waiting.push_back(work);
        if self.step_end.is_none() {
            self.start_step(now);
        }
        Ok(())
    }

    /// Removes a stream, which frees its slot for the next step. Returns false if no live stream
    /// has this id.
    pub fn cancel(&mut self, id: &str) -> bool {
        self.take(id).is_some()
    }

    /// Removes a stream and keeps its KV for a later resume, unless its prefill is incomplete.
    /// Returns the number of tokens generated, or `None` if no live stream has this id.
    pub fn park(&mut self, id: &str) -> Option<u32> {
        let stream = self.take(id)?;
        let tokens = stream.next;
        if stream.prefill > 0 {
            return Some(tokens);
        }
        self.import(Parked {
            prompt: stream.work.prompt.hash,
            tokens,
            blocks: blocks_for(stream.work.prompt.tokens.saturating_add(tokens)),
        });
        Some(tokens)
    }

    /// Returns the parked KV of a prompt, or `None` if it was evicted or resumed.
    pub fn export(&self, prompt: &PromptHash) -> Option<Parked> {
        self.parked.get(prompt).copied()
    }

    /// Adds parked KV, in place of any former KV of the same prompt.
    pub fn import(&mut self, parked: Parked) {
        let entry = Entry::Parked(parked.prompt);
        self.cache.remove(entry);
        self.cache.insert(entry, parked.blocks);
        self.parked.insert(parked.prompt, parked);
        self.shrink_cache();
    }

    /// Stops all steps permanently, to simulate an engine that hangs.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Returns when the current step ends; `None` when the engine is idle or frozen.
    pub fn next_wake(&self) -> Option<Time> {
        if self.frozen {
            return None;
        }
        self.step_end
    }

    /// Executes all steps that end by `now` and returns their results in order.
    pub fn advance(&mut self, now: Time) -> Vec<Output> {
        let mut outputs = Vec::new();
        while let Some(end) = self.next_wake() {
            if end > now {
                break;
            }
            self.finish_step(&mut outputs);
            self.start_step(end);
        }
        outputs
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            kv_used: self.reserved() + self.cache.used(),
            kv_capacity: self.options.cache_blocks,
            step: self.step,
        }
    }

    /// Takes the changes to the prompt cache since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the currently cached prompt blocks, sorted.
    pub fn cached_blocks(&self) -> Vec<BlockHash> {
        let mut blocks: Vec<_> = self.cache.blocks().collect();
        blocks.sort_unstable();
        blocks
    }

    // ------------------------------------------------------------------------

    fn is_live(&self, id: &str) -> bool {
        self.waiting.iter().any(|work| &*work.id == id)
            || self.running.iter().any(|stream| &*stream.work.id == id)
    }

    fn take(&mut self, id: &str) -> Option<Stream> {
        if let Some(at) = self.running.iter().position(|s| &*s.work.id == id) {
            return Some(self.running.remove(at));
        }
        let at = self.waiting.iter().position(|work| &*work.id == id)?;
        let work = self.waiting.remove(at)?;
        Some(Stream {
            next: work.first,
            prefill: work.prompt.tokens,
            cached: 0,
            in_step: None,
            work,
        })
    }

    fn reserved(&self) -> usize {
        let blocks = self.running.iter().map(|s| s.work.reserved_blocks());
        blocks.sum()
    }

    fn start_step(&mut self, now: Time) {
        self.admit();
        self.step_end = None;
        if self.running.is_empty() {
            return;
        }
        let mut budget = self.options.prefill_chunk.unwrap_or(u32::MAX);
        let mut prefilled = 0;
        for stream in &mut self.running {
            let share = stream.prefill.min(budget);
            budget -= share;
            prefilled += share;
            stream.in_step = Some(share);
        }
        let streams = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let length = self.options.step
            + self.options.per_stream * streams
            + self.options.per_prompt_token * prefilled;
        // With steps of zero length `advance` would not terminate.
        self.step = (length * self.options.slow_factor).max(Duration::from_micros(1));
        self.step_end = Some(now + self.step);
    }

    fn admit(&mut self) {
        while self.running.len() < self.options.slots {
            let Some(work) = self.waiting.front() else {
                break;
            };
            let reserved = self.reserved() + work.reserved_blocks();
            if reserved > self.options.cache_blocks {
                break;
            }
            let Some(work) = self.waiting.pop_front() else {
                break;
            };
            let stream = self.start_stream(work);
            self.running.push(stream);
        }
        self.shrink_cache();
    }

    fn start_stream(&mut self, work: Work) -> Stream {
        let (cached, prefill) = self.plan_prefill(&work);
        Stream {
            next: work.first,
            cached,
            prefill,
            in_step: None,
            work,
        }
    }

    /// Returns the number of cached prompt tokens and of tokens that need prefill, which include
    /// the answer tokens that the caller already has. Consumes matching parked KV.
    fn plan_prefill(&mut self, work: &Work) -> (u32, u32) {
        let prompt = &work.prompt;
        let parked = self.parked.get(&prompt.hash);
        if parked.is_some_and(|parked| parked.tokens >= work.first) {
            self.parked.remove(&prompt.hash);
            self.cache.remove(Entry::Parked(prompt.hash));
            return (prompt.tokens, 0);
        }
        let mut hits = 0;
        for &block in &prompt.blocks {
            if !self.cache.touch(Entry::Block(block)) {
                break;
            }
            hits += TOKENS_PER_BLOCK;
        }
        let cached = u32::try_from(hits).unwrap_or(u32::MAX).min(prompt.tokens);
        (cached, prompt.tokens - cached + work.first)
    }

    fn finish_step(&mut self, outputs: &mut Vec<Output>) {
        let mut done = Vec::new();
        for at in 0..self.running.len() {
            let stream = &mut self.running[at];
            let Some(share) = stream.in_step.take() else {
                continue;
            };
            stream.prefill -= share;
            if stream.prefill > 0 {
                continue;
            }
            if stream.next < stream.work.total {
                let id = stream.work.id.clone();
                let index = stream.next;
                outputs.push(Output::Token { id, index });
                stream.next += 1;
            }
            if stream.next >= stream.work.total {
                done.push(at);
            }
            if share > 0 {
                self.store(at);
            }
        }
        for at in done.into_iter().rev() {
            let stream = self.running.remove(at);
            outputs.push(Output::Finished {
                id: stream.work.id,
                cached: stream.cached,
            });
        }
    }

    /// Caches the prompt blocks of a stream whose prefill is complete.
    fn store(&mut self, at: usize) {
        let mut stored = Vec::new();
        for &block in &self.running[at].work.prompt.blocks {
            if self.cache.insert(Entry::Block(block), 1) {
                stored.push(block);
            }
        }
        if !stored.is_empty() {
            self.changes.push(CacheChange::Stored(stored));
        }
        self.shrink_cache();
    }

    fn shrink_cache(&mut self) {
        let room = self.options.cache_blocks.saturating_sub(self.reserved());
        let mut removed = Vec::new();
        for entry in self.cache.shrink(room) {
            match entry {
                Entry::Block(hash) => removed.push(hash),
                Entry::Parked(prompt) => {
                    self.parked.remove(&prompt);
                }
            }
        }
        if !removed.is_empty() {
            self.changes.push(CacheChange::Removed(removed));
        }
        debug_assert!(self.reserved() + self.cache.used() <= self.options.cache_blocks);
    }
}

fn blocks_for(tokens: u32) -> usize {
    usize::try_from(tokens)
        .unwrap_or(usize::MAX)
        .div_ceil(TOKENS_PER_BLOCK)
}
