//! Requests that are unlike all others, and the check of their answers: own, whole, once.

use clem_fake::tokens;
use serde_json::{Value, json};

/// Words that prompts are made of.
const WORDS: [&str; 8] = [
    "sunday", "forest", "session", "parish", "gate", "hall", "waitlist", "letter",
];

/// What is asked, and so what must be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The user's message.
    pub content: String,
    /// The tokens of the whole answer.
    pub tokens: u32,
}

impl Answer {
    /// A request of `customer`, unlike any other with another `name`; all of a customer's prompts
    /// begin alike.
    pub fn new(customer: &str, name: &str, words: u32, tokens: u32) -> Self {
        let shared = WORDS.repeat(6).join(" ");
        let mut content = format!("You help {customer}. {shared}. Request {name}:");
        for word in 0..words as usize {
            content.push(' ');
            content.push_str(WORDS[word % WORDS.len()]);
        }
        Self { content, tokens }
    }

    /// The text that must come back.
    pub fn text(&self) -> String {
        let prompt = tokens::prompt_text([("user", self.content.as_str())]);
        tokens::answer(&tokens::prompt_hash(&prompt), 0, self.tokens)
    }
}

/// The body of the request.
pub fn request_body(answer: &Answer, model: &str, stream: bool) -> String {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": answer.content}],
        "max_tokens": answer.tokens,
        "stream": stream,
    })
    .to_string()
}

/// Checks a plain answer's body.
///
/// # Errors
/// Says what is wrong.
pub fn check_plain(answer: &Answer, body: &[u8]) -> Result<(), String> {
    let json: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let content = json["choices"][0]["message"]["content"].as_str();
    let content = content.ok_or("no content")?;
    same(answer, content)
}

/// Checks a whole streamed answer, given its events' data in order.
///
/// # Errors
/// Says what is wrong.
pub fn check_streamed<'a>(
    answer: &Answer,
    events: impl IntoIterator<Item = &'a str>,
) -> Result<(), String> {
    let mut reading = Reading::default();
    for data in events {
        reading.event(data)?;
    }
    reading.finish(answer)
}

/// A streamed answer as it comes in.
#[derive(Debug, Default)]
pub struct Reading {
    text: String,
    next: u64,
    ended: bool,
}

impl Reading {
    /// Takes one event's data in; true when it carried a token.
    ///
    /// # Errors
    /// A token is lost, repeated or out of order, an error event came, or one after the end mark.
    pub fn event(&mut self, data: &str) -> Result<bool, String> {
        if self.ended {
            return Err("an event after the end mark".to_owned());
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
            return Err(format!("token {index:?} in place of {}", self.next));
        }
        self.next += 1;
        self.text.push_str(content);
        Ok(true)
    }

    /// Whether the end mark has come.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Checks the whole.
    ///
    /// # Errors
    /// The end mark is missing, or the text is not the one asked for.
    pub fn finish(&self, answer: &Answer) -> Result<(), String> {
        if !self.ended {
            return Err(format!("cut off after {} tokens", self.next));
        }
        same(answer, &self.text)
    }
}

fn same(answer: &Answer, text: &str) -> Result<(), String> {
    let wanted = answer.text();
    if text == wanted {
        return Ok(());
    }
    let got: String = text.chars().take(40).collect();
    let wanted: String = wanted.chars().take(40).collect();
    Err(format!("another answer: {got:?} in place of {wanted:?}"))
}
