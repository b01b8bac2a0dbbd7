//! Chat requests and their expected answers.

use clem_fake::tokens;
use eyre::{OptionExt, ensure};
use serde_json::{Value, json};

use crate::{Fleet, Reply, ReplyStream, Result};

/// Returns the body of a chat request for the route `assistant`.
pub fn chat_body(content: &str, max_tokens: u32, stream: bool) -> String {
    json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}

/// Returns the text that a fake engine generates for a request built by [`chat_body`].
pub fn expected(content: &str, max_tokens: u32) -> String {
    let text = tokens::prompt_text([("user", content)]);
    tokens::answer(&tokens::prompt_hash(&text), 0, max_tokens)
}

/// Sends a chat request without streaming through an entry, with the key of a customer of the
/// fleet.
///
/// # Errors
/// The customer is unknown, or no whole answer comes within [`BOUND`](crate::BOUND).
pub async fn chat(
    fleet: &Fleet,
    entry: usize,
    customer: &str,
    content: &str,
    max_tokens: u32,
) -> Result<Reply> {
    let key = fleet.bearer(customer)?;
    fleet
        .client
        .post(
            &fleet.entry_url(entry, "/v1/chat/completions"),
            &[("authorization", &key)],
            chat_body(content, max_tokens, false),
        )
        .await
}

/// Reads a streamed answer up to the `[DONE]` event and returns its text.
///
/// # Errors
/// The stream breaks off or contains an error event, or a token is missing or out of order.
pub async fn read_stream(stream: &mut ReplyStream) -> Result<String> {
    let text = stream.text().await?;
    let mut answer = String::new();
    let mut ended = false;
    let mut next = 0;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        ensure!(!ended, "data after [DONE]: {data}");
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data)?;
        ensure!(
            event.get("error").is_none(),
            "error event in the stream: {data}"
        );
        let index = event["index"]
            .as_u64()
            .ok_or_eyre("event without an index")?;
        ensure!(index == next, "token index {index}, expected {next}");
        next += 1;
        let content = event["choices"][0]["delta"]["content"].as_str();
        answer.push_str(content.ok_or_eyre("event without content")?);
    }
    ensure!(ended, "stream ended without [DONE]: {text}");
    Ok(answer)
}
