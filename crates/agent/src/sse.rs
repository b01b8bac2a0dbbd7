//! Parses the server-sent events of the engine.

use serde::Deserialize;

/// Data of the last event of a complete stream.
const DONE: &str = "[DONE]";

/// One event of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TokenEvent {
    /// The next token.
    Token(Token),
    /// The engine cancelled or parked the stream.
    Cut,
    /// The stream is complete.
    Done,
    /// The data is not a valid token event.
    Malformed,
}

/// A token and its position in the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    /// Index in the answer, counted from 0 across resumptions.
    pub(crate) index: u32,
    /// The text, empty in events without content.
    pub(crate) text: String,
    /// The model that generated it.
    pub(crate) model: String,
    /// The finish reason, set on the last token only.
    pub(crate) finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    index: u32,
    #[serde(default)]
    model: String,
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Parses the data of one event.
pub(crate) fn read_event(data: &str) -> TokenEvent {
    if data == DONE {
        return TokenEvent::Done;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return TokenEvent::Malformed;
    };
    let Some(choice) = chunk.choices.into_iter().next() else {
        return TokenEvent::Malformed;
    };
    if matches!(
        choice.finish_reason.as_deref(),
        Some("cancelled" | "parked")
    ) {
        return TokenEvent::Cut;
    }
    TokenEvent::Token(Token {
        index: chunk.index,
        text: choice.delta.content.unwrap_or_default(),
        model: chunk.model,
        finish_reason: choice.finish_reason,
    })
}
