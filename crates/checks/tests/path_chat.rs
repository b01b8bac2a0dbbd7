//! End-to-end path: chat, plain and streamed, from a caller through entry and agent to an engine.

use clem_checks::{Fleet, Options, Result, chat, chat_body, expected, read_stream};
use http::Method;

#[tokio::test]
async fn chat_is_answered_plain_and_streamed_at_each_entry() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let bearer = fleet.bearer("totara")?;
    for entry in 0..2 {
        let content = format!("secret prompt {entry}");
        let reply = chat(&fleet, entry, "totara", &content, 6)
            .await?
            .success()?;
        let text = reply.json()?["choices"][0]["message"]["content"].clone();
        assert_eq!(text, expected(&content, 6));

        let url = fleet.entry_url(entry, "/v1/chat/completions");
        let headers = [("authorization", bearer.as_str())];
        let body = chat_body(&content, 9, true);
        let mut stream = fleet
            .client
            .open(Method::POST, &url, &headers, body)
            .await?;
        assert_eq!(stream.status, 200);
        assert_eq!(read_stream(&mut stream).await?, expected(&content, 9));
    }
    check_no_key_at_targets(&fleet)?;
    check_logs(&fleet)
}

/// Checks that the entry forwards neither the key nor its hash.
fn check_no_key_at_targets(fleet: &Fleet) -> Result<()> {
    let key = fleet.key("totara")?.reveal().to_owned();
    let hash = fleet.key("totara")?.hash().to_string();
    let requests = fleet.requests()?;
    assert_eq!(requests.len(), 4, "each chat must run once: {requests:?}");
    for request in requests {
        let seen = format!("{request:?}");
        assert!(!seen.contains(&key), "a target received a key: {seen}");
        assert!(
            !seen.contains(&hash),
            "a target received the hash of a key: {seen}"
        );
        assert!(!request.headers.contains_key("authorization"), "{seen}");
    }
    Ok(())
}

/// Checks that the logs have the routing decisions, but neither keys nor prompts.
fn check_logs(fleet: &Fleet) -> Result<()> {
    let logs = fleet.logs()?;
    assert!(
        !logs.contains(fleet.key("totara")?.reveal()),
        "a key in a log"
    );
    assert!(!logs.contains("secret prompt"), "a prompt in a log");
    let routed = logs.lines().filter(|line| line.contains("\"routed\""));
    let mut count = 0;
    for line in routed {
        let line: serde_json::Value = serde_json::from_str(line)?;
        let fields = line["attributes"].as_object();
        let fields = fields.expect("a routing decision has no attributes");
        for name in ["request", "customer", "candidates", "choice", "reason"] {
            assert!(fields.contains_key(name), "no {name} in {line}");
        }
        count += 1;
    }
    assert!(count >= 4, "{count} log lines for 4 routing decisions");
    Ok(())
}
