//! End-to-end path: a batch from upload to results.

use std::collections::BTreeMap;

use clem_checks::{Client, Fleet, Options, Result, chat_body, eventually_value, expected};
use serde_json::{Value, json};

const ITEMS: u32 = 40;

fn item_line(item: u32) -> String {
    let body: Value =
        serde_json::from_str(&chat_body(&format!("letter {item}"), 5, false)).unwrap_or_default();
    let id = format!("letter-{item}");
    json!({"custom_id": id, "model": "assistant", "body": body}).to_string() + "\n"
}

async fn results(client: &Client, url: &str, bearer: &str) -> Option<Vec<Value>> {
    let reply = client.get(url, &[("authorization", bearer)]).await.ok()?;
    let reply = reply.success().ok()?;
    let text = reply.text();
    let lines = text.lines().map(serde_json::from_str);
    lines.collect::<std::result::Result<_, _>>().ok()
}

#[tokio::test]
async fn a_batch_is_accepted_run_and_read_back() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let client = &fleet.client;
    let bearer = fleet.bearer("botez")?;
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "letters"),
    ];
    let body: String = (0..ITEMS).map(item_line).collect();
    let url = fleet.entry_url(0, "/v1/batches");
    let reply = client.post(&url, &headers, body.clone()).await?;
    assert_eq!(reply.status, 202, "{}", reply.text());
    let id = reply.json()?["id"].clone();
    let id = id.as_str().expect("the answer has no id");

    // A resend with the same idempotency key through the other entry returns the same batch.
    let again = fleet.entry_url(1, "/v1/batches");
    let again = client.post(&again, &headers, body).await?.success()?;
    assert_eq!(again.json()?["id"], id);

    let url = fleet.entry_url(1, &format!("/v1/batches/{id}/results"));
    let lines = eventually_value("all results", async || {
        let lines = results(client, &url, &bearer).await?;
        (lines.len() == ITEMS as usize).then_some(lines)
    })
    .await?;
    let mut texts = BTreeMap::new();
    for line in lines {
        assert_eq!(line["outcome"], "done", "{line}");
        let id = line["custom_id"]
            .as_str()
            .expect("a line has no custom id")
            .to_owned();
        let text = line["body"]["choices"][0]["message"]["content"].clone();
        assert!(texts.insert(id, text).is_none(), "two outcomes: {line}");
    }
    for item in 0..ITEMS {
        let text = &texts[&format!("letter-{item}")];
        assert_eq!(*text, expected(&format!("letter {item}"), 5));
    }

    // Other customers can't see the batch.
    let other = fleet.bearer("totara")?;
    for path in ["", "/results"] {
        let url = fleet.entry_url(0, &format!("/v1/batches/{id}{path}"));
        let reply = client.get(&url, &[("authorization", &other)]).await?;
        assert_eq!(reply.status, 404);
    }
    Ok(())
}
