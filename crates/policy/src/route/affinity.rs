//! Prefix affinity: which target was last sent which prompt prefix.

use std::collections::{HashMap, VecDeque};

use clem_types::TargetId;

/// Length of the shortest prefix that is hashed, in bytes of prompt text.
pub const PREFIX_BYTES_MIN: usize = 256;
/// Maximum number of prefixes per prompt.
const PREFIXES_MAX: usize = 12;
/// Approximate bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Capacity of the table, in prefixes.
const CAPACITY: usize = 32 * 1024;

/// Hashes of a prompt's prefixes, shortest first; their lengths grow by half each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefixes {
    /// Hash and length in tokens of each prefix.
    hashes: Vec<(u64, u32)>,
}

impl Prefixes {
    /// Hashes the prefixes of a prompt. The `owner` is part of each hash, as caches are not shared
    /// between owners.
    pub fn new(owner: &str, prompt: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(owner.as_bytes());
        hasher.update(&[0]);
        let mut hashes = Vec::new();
        let mut from = 0;
        let mut to = PREFIX_BYTES_MIN;
        while to <= prompt.len() && hashes.len() < PREFIXES_MAX {
            hasher.update(&prompt[from..to]);
            let tokens = u32::try_from(to / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
            hashes.push((first_word(&hasher.finalize()), tokens));
            from = to;
            // Growing by half, a match gives the shared length to within a third.
            to += (to / 2).max(PREFIX_BYTES_MIN);
        }
        Self { hashes }
    }

    /// Hash of the shortest prefix; `None` for a prompt below [`PREFIX_BYTES_MIN`].
    pub fn first(&self) -> Option<u64> {
        self.hashes.first().map(|(hash, _)| *hash)
    }
}

fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(word)
}

/// Table of the prefixes that this entry sent and their targets; the oldest prefix is evicted
/// first.
#[derive(Debug, Default)]
pub(super) struct Affinity {
    targets: HashMap<u64, TargetId>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// Targets of the two longest known prefixes, with the number of matched tokens.
    pub(super) fn find(&self, prefixes: &Prefixes) -> impl Iterator<Item = (&TargetId, u32)> {
        prefixes
            .hashes
            .iter()
            .rev()
            .filter_map(|(hash, tokens)| Some((self.targets.get(hash)?, *tokens)))
            .take(2)
    }

    pub(super) fn learn(&mut self, id: &TargetId, prefixes: &Prefixes) {
        for (hash, _) in &prefixes.hashes {
            if self.targets.insert(*hash, id.clone()).is_none() {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > CAPACITY {
            if let Some(hash) = self.order.pop_front() {
                self.targets.remove(&hash);
            }
        }
    }

    /// Removes a target. Scans the whole table, as targets rarely go or restart.
    pub(super) fn forget(&mut self, id: &TargetId) {
        self.targets.retain(|_, target| target != id);
        let targets = &self.targets;
        self.order.retain(|hash| targets.contains_key(hash));
    }
}
