//! Which target was last sent which prefix.

use std::collections::{HashMap, VecDeque};

use clem_types::TargetId;

/// The shortest prefix that counts, in bytes of prompt text.
pub const PREFIX_BYTES_MIN: usize = 256;
/// How many prefixes of a prompt are looked at.
const PREFIXES_MAX: usize = 12;
/// Bytes of prompt text in a token, about.
const BYTES_PER_TOKEN: usize = 4;
/// How many prefixes are remembered.
const MEMORY: usize = 32 * 1024;

/// A prompt's prefixes of lengths that double, as hashes; the shortest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefixes {
    /// Hash and length in tokens.
    hashes: Vec<(u64, u32)>,
}

impl Prefixes {
    /// Hashes the prefixes of a prompt. The `owner` goes into each hash, as caches are apart too.
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
            // Half steps, so that a match tells the shared length within a third.
            to += (to / 2).max(PREFIX_BYTES_MIN);
        }
        Self { hashes }
    }

    /// The hash of the shortest prefix.
    pub fn first(&self) -> Option<u64> {
        self.hashes.first().map(|(hash, _)| *hash)
    }
}

fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(word)
}

/// What this entry remembers of its own dispatches; bounded, the oldest goes first.
#[derive(Debug, Default)]
pub(super) struct Affinity {
    targets: HashMap<u64, TargetId>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// The targets of the two longest prefixes that are known, with the matched tokens.
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
        while self.order.len() > MEMORY {
            if let Some(hash) = self.order.pop_front() {
                self.targets.remove(&hash);
            }
        }
    }

    /// Forgets a target; rare, so that a walk over the memory is fine.
    pub(super) fn forget(&mut self, id: &TargetId) {
        self.targets.retain(|_, target| target != id);
        let targets = &self.targets;
        self.order.retain(|hash| targets.contains_key(hash));
    }
}
