//! The deterministic tokens of the fake engine, with which tests can verify every answer.

/// The BLAKE3 hash of the text of a prompt.
pub type PromptHash = [u8; 32];

/// The number of hexadecimal digits in a token.
const DIGITS: usize = 8;

/// Returns the prompt text of a list of messages, each given as role and content.
pub fn prompt_text<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut text = String::new();
    for (role, content) in messages {
        text.push_str(role);
        text.push('\n');
        text.push_str(content);
        text.push('\n');
    }
    text
}

/// Hashes a prompt text; the tokens of the answer are derived from the hash.
pub fn prompt_hash(text: &str) -> PromptHash {
    *blake3::hash(text.as_bytes()).as_bytes()
}

/// Returns the token with this index in the answer to a prompt.
pub fn token(prompt: &PromptHash, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt);
    hasher.update(&index.to_le_bytes());
    let hex = hasher.finalize().to_hex();
    format!("{index}:{} ", &hex[..DIGITS])
}

/// Returns the text of the tokens with indices `first..total` of an answer.
pub fn answer(prompt: &PromptHash, first: u32, total: u32) -> String {
    (first..total).map(|index| token(prompt, index)).collect()
}
