//! The calls of the fakes other than chat, as documented in the README of clem-fake.

use clem_checks::{Client, Process, Result, eventually, eventually_value, expected, read_stream};
use clem_fake::ReservedPort;
use http::Method;
use serde_json::{Value, json};

struct Fake {
    _process: Process,
    client: Client,
    url: String,
    _folder: tempfile::TempDir,
    _port: ReservedPort,
}

impl Fake {
    async fn start(kind: &str, args: &[&str]) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let port = ReservedPort::new()?;
        let listen = port.address().to_string();
        let mut all = vec![kind, "--listen", &listen];
        all.extend(args);
        let all = all.into_iter().map(str::to_owned).collect();
        let process = Process::start(kind, "clem-fake", all, folder.path())?;
        eventually("the fake to listen", async || {
            process
                .output()
                .is_ok_and(|text| text.contains("listening"))
        })
        .await?;
        Ok(Self {
            _process: process,
            client: Client::new(),
            url: format!("http://{}", port.address()),
            _folder: folder,
            _port: port,
        })
    }

    async fn get(&self, path: &str) -> Result<Value> {
        self.client
            .get(&format!("{}{path}", self.url), &[])
            .await?
            .success()?
            .json()
    }

    async fn post(&self, path: &str, body: &Value) -> Result<(u16, Value)> {
        let url = format!("{}{path}", self.url);
        let reply = self.client.post(&url, &[], body.to_string()).await?;
        Ok((reply.status.as_u16(), reply.json()?))
    }
}

fn chat(content: &str, tokens: u32) -> Value {
    json!({
        "model": "m",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": true,
    })
}

#[tokio::test]
async fn a_parked_stream_resumes_where_it_stopped() -> Result<()> {
    let fake = Fake::start("engine", &["--model", "m@1"]).await?;
    let url = format!("{}/v1/chat/completions", fake.url);
    let name = [("x-request-id", "r1")];
    let mut body = chat("parked", 4000);
    let client = &fake.client;
    let mut stream = client
        .open(Method::POST, &url, &name, body.to_string())
        .await?;
    assert!(stream.next().await?.is_some());
    let (status, parked) = fake.post("/engine/park", &json!({"id": "r1"})).await?;
    assert_eq!((status, &parked["parked"]), (200, &json!(true)));
    let tokens = parked["tokens"].as_u64().unwrap_or(0);
    assert!(tokens > 0);
    let rest = stream.text().await?;
    assert!(rest.contains("\"finish_reason\":\"parked\""), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
    let export = fake.get("/engine/kv?id=r1").await?;
    assert_eq!(export["tokens"], tokens);

    body["max_tokens"] = json!(tokens + 3);
    body["resume"] = json!({"tokens": tokens});
    body["stream"] = json!(false);
    let (status, answer) = fake.post("/v1/chat/completions", &body).await?;
    assert_eq!(status, 200);
    let whole = expected("parked", u32::try_from(tokens)? + 3);
    let text = answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    assert!(
        whole.ends_with(text) && text.split_whitespace().count() == 3,
        "{text}"
    );
    assert_eq!(
        answer["usage"]["cached_tokens"],
        answer["usage"]["prompt_tokens"]
    );
    Ok(())
}

#[tokio::test]
async fn cache_events_have_gaps_that_a_snapshot_fills() -> Result<()> {
    let args = [
        "--model",
        "m@1",
        "--event-gap",
        "50",
        "--event-lag-ms",
        "0",
        "--seed",
        "3",
    ];
    let fake = Fake::start("engine", &args).await?;
    for number in 0..20 {
        let content = format!("{number:02} {}", "x".repeat(200));
        let url = format!("{}/v1/chat/completions", fake.url);
        let body = chat(&content, 1).to_string();
        let mut stream = fake.client.open(Method::POST, &url, &[], body).await?;
        assert_eq!(read_stream(&mut stream).await?, expected(&content, 1));
    }
    let updates = fake.get("/engine/cache?after=0").await?;
    let events = updates["events"].as_array().map_or(0, Vec::len);
    assert!((1..20).contains(&events), "{events} of 20 published");
    let all = fake.get("/engine/cache?full=1").await?;
    assert_eq!(
        (all["next"].as_u64(), all["blocks"].as_array().map(Vec::len)),
        (Some(20), Some(60))
    );
    Ok(())
}

#[tokio::test]
async fn a_model_is_loaded_at_the_weight_stores_rate_and_fences_are_checked() -> Result<()> {
    let store = Fake::start("weights", &["--bytes-per-s", "400000"]).await?;
    let address = store.url.trim_start_matches("http://");
    let args = [
        "--model",
        "m@1",
        "--weights",
        address,
        "--load-bytes",
        "100000",
    ];
    let fake = Fake::start("engine", &args).await?;
    let load = json!({"fence": 5, "order": {"load": {"model": "m", "version": 2}}});
    let begun = std::time::Instant::now();
    assert_eq!(fake.post("/engine/orders", &load).await?.0, 200);
    assert_eq!(fake.get("/engine/models").await?[1]["state"], "loading");
    let old = json!({"fence": 4, "order": {"unload": {"model": "m", "version": 1}}});
    let (status, answer) = fake.post("/engine/orders", &old).await?;
    assert_eq!(
        (status, &answer["error"]["code"]),
        (409, &json!("stale_fence"))
    );
    eventually("the model to be ready", async || {
        fake.get("/engine/models")
            .await
            .is_ok_and(|models| models[1]["state"] == "ready")
    })
    .await?;
    // 100 KB at 400 KB/s take 250 ms however fast the machine is.
    assert!(begun.elapsed().as_millis() >= 240);
    Ok(())
}

#[tokio::test]
async fn side_effects_are_counted_by_key_and_the_platforms_list_can_be_empty() -> Result<()> {
    let service = Fake::start("service", &["--fail-on", "broken"]).await?;
    let url = format!("{}/confirm", service.url);
    let key = [("idempotency-key", "k")];
    for _ in 0..2 {
        service.client.post(&url, &key, "x").await?.success()?;
    }
    service.client.post(&url, &[], "x").await?.success()?;
    assert_eq!(service.client.post(&url, &[], "broken").await?.status, 500);
    assert_eq!(
        service.get("/fake/effects").await?,
        json!({"POST /confirm": 1, "k": 2})
    );

    let platform = Fake::start("platform", &["--lag-ms", "100"]).await?;
    let vm =
        |state| json!([{"vm": "v", "address": "127.0.0.1:1", "data_centre": "a", "state": state}]);
    platform.post("/vms", &vm("live")).await?;
    assert_eq!(platform.get("/vms").await?, vm("live"));
    platform.post("/vms", &vm("leaving")).await?;
    eventually_value("the list to be updated", async || {
        let list = platform.get("/vms").await.ok()?;
        (list == vm("leaving")).then_some(())
    })
    .await?;
    assert_eq!(
        platform.post("/vms?empty_ms=60000", &json!([])).await?.1,
        json!([])
    );
    assert_eq!(platform.get("/vms").await?, json!([]));
    Ok(())
}
