//! Status reports of the engine: load with a lag, and cache events with a lag and with gaps.

use std::{collections::VecDeque, time::Duration};

use clem_fake::{
    model::{CacheChange, Load},
    prefix::BlockHash,
};
use clem_types::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// A sample that follows the previous one sooner than this replaces it.
const SAMPLE_SPACING: Duration = Duration::from_millis(1);
/// The number of events kept; readers miss older ones as if they were lost.
const MAX_EVENTS: usize = 10_000;

/// Recent load samples, from which delayed reports are read.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Time, u64, Load)>,
    seq: u64,
}

impl LoadHistory {
    /// Adds a sample and drops those that are too old for any report.
    pub(crate) fn record(&mut self, now: Time, load: Load, lag: Duration) {
        if let Some((at, _, latest)) = self.samples.back_mut() {
            if *latest == load {
                return;
            }
            if now.since(*at) < SAMPLE_SPACING {
                *latest = load;
                return;
            }
        }
        self.seq += 1;
        self.samples.push_back((now, self.seq, load));
        while self.samples.len() > 1 && self.samples[1].0 <= now - lag {
            self.samples.pop_front();
        }
    }

    /// Returns the sample in effect `lag` ago, or the oldest one, with its sequence number.
    pub(crate) fn read(&self, now: Time, lag: Duration) -> (u64, Load) {
        let mut known = (0, Load::default());
        for &(at, seq, load) in &self.samples {
            if known.0 != 0 && at > now - lag {
                break;
            }
            known = (seq, load);
        }
        known
    }
}

/// One published change of the prompt cache.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    pub(crate) kind: &'static str,
    pub(crate) blocks: Vec<BlockHash>,
}

/// The published events of the prompt cache, of which a configured share is lost.
#[derive(Debug)]
pub(crate) struct CacheFeed {
    events: VecDeque<(Time, CacheEvent)>,
    seq: u64,
    gap: u32,
    rng: ChaCha8Rng,
}

impl CacheFeed {
    /// Creates a feed that loses `gap` percent of its events, chosen by `seed`.
    pub(crate) fn new(gap: u32, seed: u64) -> Self {
        Self {
            events: VecDeque::new(),
            seq: 0,
            gap,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn record(&mut self, now: Time, changes: Vec<CacheChange>) {
        for change in changes {
            self.seq += 1;
            if self.rng.random_range(0..100) < self.gap {
                continue;
            }
            let (kind, blocks) = match change {
                CacheChange::Stored(blocks) => ("stored", blocks),
                CacheChange::Removed(blocks) => ("removed", blocks),
            };
            let seq = self.seq;
            let event = CacheEvent { seq, kind, blocks };
            self.events.push_back((now, event));
        }
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// The sequence number of the latest change, whether published or lost.
    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the events with sequence numbers above `after` that are at least `lag` old.
    pub(crate) fn read(&self, now: Time, lag: Duration, after: u64) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for (at, event) in &self.events {
            if event.seq <= after {
                continue;
            }
            if now.since(*at) < lag {
                break;
            }
            events.push(event.clone());
        }
        events
    }
}
