//! Behaviour of the fakes and of the relay that the other tests rely on.

use clem_checks::{
    Client, Link, Process, Relay, Result, eventually, expected, read_requests, read_stream,
};
use clem_fake::ReservedPort;

fn body(model: &str, content: &str, tokens: u32) -> String {
    serde_json::json!({
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": true,
    })
    .to_string()
}

struct Engine {
    process: Process,
    url: String,
    folder: tempfile::TempDir,
    _port: ReservedPort,
}

async fn engine(args: &[&str]) -> Result<Engine> {
    let folder = tempfile::tempdir()?;
    let port = ReservedPort::new()?;
    let log = folder.path().join("log").display().to_string();
    let listen = port.address().to_string();
    let mut all = vec![
        "engine", "--listen", &listen, "--log", &log, "--model", "m@1",
    ];
    all.extend(args);
    let all = all.into_iter().map(str::to_owned).collect();
    let process = Process::start("engine", "clem-fake", all, folder.path())?;
    eventually("the engine to listen", async || {
        process
            .output()
            .is_ok_and(|text| text.contains("listening"))
    })
    .await?;
    Ok(Engine {
        process,
        url: format!("http://{}/v1/chat/completions", port.address()),
        folder,
        _port: port,
    })
}

#[tokio::test]
async fn a_stream_is_complete_and_a_dropped_one_frees_its_slot() -> Result<()> {
    let engine = engine(&["--slots", "1", "--load-lag-ms", "0"]).await?;
    let client = Client::new();
    let post = http::Method::POST;
    let name = [("x-request-id", "long")];
    let mut long = client
        .open(post.clone(), &engine.url, &name, body("m", "a", 50_000))
        .await?;
    assert!(long.next().await?.is_some());
    drop(long);
    let mut short = client
        .open(post, &engine.url, &[], body("m@1", "b", 5))
        .await?;
    assert_eq!(read_stream(&mut short).await?, expected("b", 5));
    let lines = read_requests(&engine.folder.path().join("log"))?;
    assert_eq!(
        (lines[0].id.as_str(), lines[0].outcome.as_str()),
        ("long", "dropped")
    );
    assert_eq!(
        (lines[1].tokens, lines[1].outcome.as_str()),
        (Some(5), "done")
    );
    Ok(())
}

#[tokio::test]
async fn a_marked_request_kills_the_process_and_stays_in_the_log() -> Result<()> {
    let mut engine = engine(&["--die-on", "POISON", "--die-after", "2"]).await?;
    let client = Client::new();
    let post = http::Method::POST;
    let mut stream = client
        .open(post, &engine.url, &[], body("m", "POISON", 5))
        .await?;
    assert!(read_stream(&mut stream).await.is_err());
    assert_eq!(engine.process.wait().await?.code(), Some(86));
    let lines = read_requests(&engine.folder.path().join("log"))?;
    assert_eq!((lines.len(), lines[0].end), (1, None));
    engine.process.restart()?;
    eventually("the engine to answer again", async || {
        let reply = client.post(&engine.url, &[], body("m", "fine", 1)).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    })
    .await
}

#[tokio::test]
async fn a_relay_holds_drops_and_cuts() -> Result<()> {
    let engine = engine(&[]).await?;
    let address = engine.url.split('/').nth(2).unwrap_or_default().parse()?;
    let relay = Relay::start(address).await?;
    let url = format!("http://{}/v1/chat/completions", relay.address());
    let client = Client::new();
    relay.backward(Link::Held);
    let mut held = tokio::spawn({
        let (client, url) = (client.clone(), url.clone());
        async move { client.post(&url, &[], body("m", "held", 2)).await }
    });
    eventually("the first request to have run", async || {
        let lines = read_requests(&engine.folder.path().join("log")).unwrap_or_default();
        lines.iter().any(|line| line.outcome == "done")
    })
    .await?;
    assert!(
        futures_util::future::poll_immediate(&mut held)
            .await
            .is_none()
    );
    relay.backward(Link::Open);
    assert!(held.await??.text().ends_with("data: [DONE]\n\n"));

    relay.backward(Link::Lost);
    let lost = client.post(&url, &[], body("m", "lost", 2));
    let cut = async {
        eventually("the second request to have run", async || {
            let lines = read_requests(&engine.folder.path().join("log")).unwrap_or_default();
            lines.len() == 2 && lines[1].outcome == "done"
        })
        .await?;
        relay.cut();
        Ok::<_, eyre::Report>(())
    };
    let (lost, cut) = tokio::join!(lost, cut);
    cut?;
    assert!(lost.is_err());
    Ok(())
}
