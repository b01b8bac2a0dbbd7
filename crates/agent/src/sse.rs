//! The engine's server-sent events.

use serde::Deserialize;

/// What ends a stream that is whole.
const DONE: &str = "[DONE]";

/// One event of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TokenEvent {
    /// A token.
    Token(Token),
    /// The stream was cancelled or parked at the engine.
    Cut,
    /// The stream is whole.
    Done,
    /// Not an event of a token stream.
    Malformed,
}

/// A token and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    /// Its place in the whole answer.
    pub(crate) index: u32,
    /// Its text.
    pub(crate) text: String,
    /// The model that made it.
    pub(crate) model: String,
    /// Why the answer ends with it, if it does.
    pub(crate) finish: Option<String>,
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

/// Reads the data of one event.
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
        finish: choice.finish_reason,
    })
}
