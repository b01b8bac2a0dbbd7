//! Prompt blocks: the units in which an engine caches prompt prefixes.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::tokens::{PromptHash, prompt_hash};

/// Prompt text of one token, in bytes.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one block of KV memory.
pub const TOKENS_PER_BLOCK: usize = 16;
const BYTES_PER_BLOCK: usize = BYTES_PER_TOKEN * TOKENS_PER_BLOCK;

/// The hash of a prefix that ends with a whole block; it stands for all blocks up to there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for BlockHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// What an engine needs to know of a prompt.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The hash of the text, from which the answer follows.
    pub hash: PromptHash,
    /// The count of tokens.
    pub tokens: u32,
    /// The hashes of its whole blocks, in order.
    pub blocks: Vec<BlockHash>,
}

impl Prompt {
    /// Measures and hashes a prompt's text.
    pub fn new(salt: &str, text: &str) -> Self {
        let tokens = text.len().div_ceil(BYTES_PER_TOKEN);
        Self {
            hash: prompt_hash(text),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            blocks: block_hashes(salt, text),
        }
    }
}

/// The hashes of a prompt's whole blocks; prompts that share a prefix and a salt share the first ones.
pub fn block_hashes(salt: &str, text: &str) -> Vec<BlockHash> {
    let mut previous = first_bytes(&blake3::hash(salt.as_bytes()));
    let mut hashes = Vec::new();
    for block in text.as_bytes().chunks_exact(BYTES_PER_BLOCK) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&previous);
        hasher.update(block);
        previous = first_bytes(&hasher.finalize());
        hashes.push(BlockHash(u64::from_be_bytes(previous)));
    }
    hashes
}

fn first_bytes(hash: &blake3::Hash) -> [u8; 8] {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    bytes
}
