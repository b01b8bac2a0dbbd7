//! Unique requests and the verification of their responses: the expected text, complete, each token
//! once.

use clem_fake::tokens;
use serde_json::{Value, json};

/// The words that prompts are composed of.
const WORDS: [&str; 8] = [
    "sunday", "forest", "session", "parish", "gate", "hall", "waitlist", "letter",
];

/// The prompt and length of a chat request. They determine the response of the fake engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The user's message.
    pub content: String,
    /// The number of tokens to request; the response has exactly this many.
    pub tokens: u32,
}

impl Prompt {
    /// Creates a request of `customer` that is unique by `name`. All prompts of a customer share a
    /// prefix, which makes prefix caching effective.
    pub fn new(customer: &str, name: &str, words: u32, tokens: u32) -> Self {
        let shared = WORDS.repeat(6).join(" ");
        let mut content = format!("You help {customer}. {shared}. Request {name}:");
        for word in 0..words as usize {
            content.push(' ');
            content.push_str(WORDS[word % WORDS.len()]);
        }
        Self { content, tokens }
    }

    /// The expected text of the response.
    pub fn expected_text(&self) -> String {
        let prompt = tokens::prompt_text([("user", self.content.as_str())]);
        tokens::answer(&tokens::prompt_hash(&prompt), 0, self.tokens)
    }
}

/// The JSON body of the chat request.
pub fn request_body(prompt: &Prompt, model: &str, stream: bool) -> String {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt.content}],
        "max_tokens": prompt.tokens,
        "stream": stream,
    })
    .to_string()
}

/// Verifies the body of a response that is not streamed.
///
/// # Errors
/// The body is not a chat completion, or its text is not the expected one.
pub fn check_plain(prompt: &Prompt, body: &[u8]) -> Result<(), String> {
    let json: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let content = json["choices"][0]["message"]["content"].as_str();
    let content = content.ok_or("no content")?;
    check_text(prompt, content)
}

/// Verifies a complete streamed response, given the data of its events in order.
///
/// # Errors
/// See [`StreamChecker::event`] and [`StreamChecker::finish`].
pub fn check_streamed<'a>(
    prompt: &Prompt,
    events: impl IntoIterator<Item = &'a str>,
) -> Result<(), String> {
    let mut checker = StreamChecker::default();
    for data in events {
        checker.event(data)?;
    }
    checker.finish(prompt)
}

/// Verifies a streamed response incrementally.
#[derive(Debug, Default)]
pub struct StreamChecker {
    text: String,
    next: u64,
    ended: bool,
}

impl StreamChecker {
    /// Processes the data of one event; returns whether it contained a token.
    ///
    /// # Errors
    /// A token is missing, repeated or out of order, the event reports an error, or it follows `[DONE]`.
    pub fn event(&mut self, data: &str) -> Result<bool, String> {
        if self.ended {
            return Err("an event after [DONE]".to_owned());
        }
        if data == "[DONE]" {
            self.ended = true;
            return Ok(false);
        }
        let event: Value = serde_json::from_str(data).map_err(|error| error.to_string())?;
        if !event["error"].is_null() {
            return Err(format!("error event: {}", event["error"]));
        }
        let Some(content) = event["choices"][0]["delta"]["content"].as_str() else {
            return Ok(false);
        };
        let index = event["index"].as_u64();
        if index != Some(self.next) {
            return Err(format!("token {index:?} instead of {}", self.next));
        }
        self.next += 1;
        self.text.push_str(content);
        Ok(true)
    }

    /// Whether `[DONE]` was received.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Verifies the complete text.
    ///
    /// # Errors
    /// `[DONE]` is missing, or the text is not the expected one.
    pub fn finish(&self, prompt: &Prompt) -> Result<(), String> {
        if !self.ended {
            return Err(format!(
                "the stream ended after {} tokens without [DONE]",
                self.next
            ));
        }
        check_text(prompt, &self.text)
    }
}

fn check_text(prompt: &Prompt, text: &str) -> Result<(), String> {
    let expected = prompt.expected_text();
    if text == expected {
        return Ok(());
    }
    let got: String = text.chars().take(40).collect();
    let expected: String = expected.chars().take(40).collect();
    Err(format!("wrong text: {got:?} instead of {expected:?}"))
}
