//! Batch uploads through the entry.

mod support;

use support::{
    Control, EntryProcess,
    control::{KEY, route_id},
};

fn line(number: usize) -> String {
    format!(
        r#"{{"custom_id":"letter-{number}","model":"assistant","body":{{"messages":[],"n":{number}}}}}"#
    )
}

#[tokio::test]
async fn a_batch_is_split_into_chunks_and_sealed() {
    let control = Control::start().await;
    let entry = EntryProcess::ready(&control).await;
    let bearer = format!("Bearer {KEY}");
    let body: String = (0..2500).map(|number| line(number) + "\n").collect();
    let headers = [("authorization", bearer.as_str())];
    let reply = entry
        .caller()
        .send("POST", "/v1/batches?due=%2B3600", &headers, &body)
        .await;
    assert_eq!(reply.status, 202, "{}", reply.body);
    let state = control.state();
    let seal = state.sealed.clone().expect("the batch is sealed");
    assert_eq!(
        reply.json()["id"].as_str(),
        Some(seal.batch.to_string().as_str())
    );
    assert_eq!(
        (seal.items, seal.chunks as usize),
        (2500, state.chunks.len())
    );
    assert!(
        state.chunks.len() >= 3,
        "the batch is sent in several chunks"
    );
    let items: Vec<_> = state.chunks.iter().flatten().collect();
    assert_eq!(items.len(), 2500);
    assert_eq!(items[2499].custom_id, "letter-2499");
    assert_eq!(items[0].route, route_id("assistant"));
    assert!(items[0].idempotent);
}

#[tokio::test]
async fn an_invalid_line_is_reported_and_nothing_is_sealed() {
    let control = Control::start().await;
    let entry = EntryProcess::ready(&control).await;
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let long = format!(
        r#"{{"custom_id":"x","model":"assistant","body":"{}"}}"#,
        "y".repeat(150_000)
    );
    let cases = [
        ("{", "line 2: column"),
        (r#"{"custom_id":"x","body":{}}"#, "line 2: it names neither"),
        (
            r#"{"custom_id":"x","model":"nobody","body":{}}"#,
            "line 2: no route",
        ),
        (
            r#"{"custom_id":"","model":"assistant","body":{}}"#,
            "line 2: custom_id",
        ),
        (&long, "too long"),
    ];
    for (invalid, reason) in cases {
        let body = format!("{}\n{invalid}\n", line(1));
        let reply = entry
            .caller()
            .send("POST", "/v1/batches", &headers, &body)
            .await;
        assert_eq!(
            reply.refusal(),
            (400, "bad_item".to_owned(), "no".to_owned())
        );
        assert!(reply.body.contains(reason), "{}", reply.body);
    }
    let reply = entry
        .caller()
        .send("POST", "/v1/batches", &headers, "\n")
        .await;
    assert_eq!(reply.refusal().1, "batch_empty");
    let reply = entry
        .caller()
        .send("POST", "/v1/batches?due=soon", &headers, &line(1))
        .await;
    assert_eq!(reply.refusal().1, "bad_due");
    let reply = entry
        .caller()
        .send("POST", "/v1/batches", &[], &line(1))
        .await;
    assert_eq!(reply.refusal().1, "key_missing");
    assert!(control.state().sealed.is_none());
}

#[tokio::test]
async fn upload_memory_does_not_grow_with_its_length() {
    let control = Control::start().await;
    control.state().keep_chunks = false;
    let entry = EntryProcess::ready(&control).await;
    let bearer = format!("Bearer {KEY}");
    let text = "a parish letter ".repeat(60);
    let mut body = String::new();
    for number in 0..80_000 {
        body += &format!(
            r#"{{"custom_id":"l{number}","model":"assistant","body":{{"text":"{text}"}}}}"#
        );
        body.push('\n');
    }
    let headers = [("authorization", bearer.as_str())];
    let reply = entry
        .caller()
        .send("POST", "/v1/batches", &headers, &body)
        .await;
    assert_eq!(reply.status, 202, "{}", reply.body);
    assert_eq!(control.state().items, 80_000);
    let peak = entry.peak_kb();
    println!(
        "BOUND memory of an entry that took in {} MB: {peak} KB, at most 40000",
        body.len() >> 20
    );
    assert!(
        peak < 40_000,
        "{peak} KB for a body of {} MB",
        body.len() >> 20
    );
}
