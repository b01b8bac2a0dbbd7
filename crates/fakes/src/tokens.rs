//! The deterministic tokens of the fake engine, so that every answer can be checked.

/// BLAKE3 of a prompt's text.
pub type PromptHash = [u8; 32];

/// Hexadecimal digits of a token.
const DIGITS: usize = 8;

/// The text that a list of messages (role, content) stands for.
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

/// The hash from which the tokens of an answer follow.
pub fn prompt_hash(text: &str) -> PromptHash {
    *blake3::hash(text.as_bytes()).as_bytes()
}

/// Token `index` of the answer to a prompt.
pub fn token(prompt: &PromptHash, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt);
    hasher.update(&index.to_le_bytes());
    let hex = hasher.finalize().to_hex();
    format!("{index}:{} ", &hex[..DIGITS])
}

/// The answer's text from token `first` up to, but without, token `total`.
pub fn answer(prompt: &PromptHash, first: u32, total: u32) -> String {
    (first..total).map(|index| token(prompt, index)).collect()
}
