//! Prompt blocks, the units in which an engine caches prompt prefixes.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::tokens::{PromptHash, prompt_hash};

/// The bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// The number of tokens in one block of KV memory.
pub const TOKENS_PER_BLOCK: usize = 16;
const BYTES_PER_BLOCK: usize = BYTES_PER_TOKEN * TOKENS_PER_BLOCK;

/// The chained hash of a full block and of all blocks before it; it identifies the whole prefix.
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

/// The length and the hashes of a prompt, which is all that the batching model needs of it.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The hash of the text, from which the tokens of the answer are derived.
    pub hash: PromptHash,
    /// The length in tokens, rounded up.
    pub tokens: u32,
    /// The hashes of the full blocks, in order; a partial last block has none.
    pub blocks: Vec<BlockHash>,
}

impl Prompt {
    /// Computes the length and the hashes of a prompt text; `salt` separates the block hashes of
    /// customers.
    pub fn new(salt: &str, text: &str) -> Self {
        let tokens = text.len().div_ceil(BYTES_PER_TOKEN);
        Self {
            hash: prompt_hash(text),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            blocks: block_hashes(salt, text),
        }
    }
}

/// Hashes the full blocks of a prompt text. Prompts with the same salt and a common prefix share
/// the first hashes.
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
