//! Chat requests, and what their answers must be.

use clem_fake::tokens;
use eyre::{OptionExt, ensure};
use serde_json::{Value, json};

use crate::{Fleet, Reply, ReplyStream, Result};

/// The body of a chat request on the route `assistant`.
pub fn chat_body(content: &str, max_tokens: u32, stream: bool) -> String {
    json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}

/// The answer that a fake engine gives to that request.
pub fn expected(content: &str, max_tokens: u32) -> String {
    let text = tokens::prompt_text([("user", content)]);
    tokens::answer(&tokens::prompt_hash(&text), 0, max_tokens)
}

/// Sends a plain chat through an entry for a customer of the fleet.
///
/// # Errors
/// No answer comes.
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

/// Reads a streamed answer to its end mark and returns its text.
///
/// # Errors
/// It breaks off, carries an error event, or a token is lost or out of order.
pub async fn streamed(stream: &mut ReplyStream) -> Result<String> {
    let text = stream.text().await?;
    let mut answer = String::new();
    let mut ended = false;
    let mut next = 0;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        ensure!(!ended, "more after the end mark: {data}");
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data)?;
        ensure!(event.get("error").is_none(), "error event: {data}");
        let index = event["index"].as_u64().ok_or_eyre("no index")?;
        ensure!(index == next, "token {index} in place of {next}");
        next += 1;
        let content = event["choices"][0]["delta"]["content"].as_str();
        answer.push_str(content.ok_or_eyre("no content")?);
    }
    ensure!(ended, "no end mark: {text}");
    Ok(answer)
}
