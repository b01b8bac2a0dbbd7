//! End-to-end requests through an entry process, with mock control and agents.

mod support;

use clem_types::Version;
use clem_wire::dispatch::{Event, NotRunReason};
use support::{
    Agent, Behaviour, Control, EntryProcess,
    agent::token,
    chat,
    connection::Connection,
    control::{KEY, id, model, rules},
    eventually,
};

/// The events of a complete stream of `count` tokens.
fn complete_stream(count: u32) -> String {
    let tokens: String = (0..count)
        .map(|index| format!("data: {}\n\n", token(index)))
        .collect();
    tokens + "data: [DONE]\n\n"
}

async fn fleet(behaviours: Vec<Vec<Behaviour>>) -> (Control, Vec<Agent>, EntryProcess) {
    let control = Control::start().await;
    let mut agents = Vec::new();
    for (index, behaviours) in behaviours.into_iter().enumerate() {
        agents.push(Agent::start(&format!("t{index}"), behaviours).await);
    }
    control.set_fleet(agents.iter().map(|agent| agent.view(&model())).collect());
    let entry = EntryProcess::ready(&control).await;
    (control, agents, entry)
}

fn dispatched(agents: &[Agent]) -> usize {
    agents.iter().map(Agent::dispatched).sum()
}

#[tokio::test]
async fn a_complete_stream_ends_with_the_done_event() {
    let (_control, agents, entry) = fleet(vec![vec![Behaviour::Tokens(5)]]).await;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert_eq!((reply.status, reply.body), (200, complete_stream(5)));
    let dispatch = agents[0].state().dispatches[0].clone();
    assert_eq!(dispatch.customer, Some(id("totara")));
    assert_eq!(dispatch.key, Some(id("totara-1")));
    // The log is read through a pipe and may arrive after the answer.
    eventually("the decision in the log", || async {
        let log = entry.log();
        log.contains("routed") && log.contains("candidates")
    })
    .await;
    let log = entry.log();
    assert!(!log.contains(KEY), "the log contains the key");
}

#[tokio::test]
async fn invalid_requests_are_refused_and_the_connection_is_kept() {
    let (_control, agents, entry) = fleet(vec![vec![Behaviour::Tokens(1)]]).await;
    let bearer = format!("Bearer {KEY}");
    let long = "x".repeat(150_000);
    let unknown = r#"{"model":"nobody","messages":[]}"#;
    let cases = [
        (Some("Bearer clem_wrong"), chat(false), (401, "key_unknown")),
        (None, chat(false), (401, "key_missing")),
        (Some(bearer.as_str()), "{".to_owned(), (400, "bad_json")),
        (Some(&bearer), "{}".to_owned(), (400, "no_model")),
        (Some(&bearer), unknown.to_owned(), (404, "model_unknown")),
        (Some(&bearer), long, (413, "too_large")),
    ];
    let mut connection = Connection::open(&entry).await;
    for (key, body, (status, code)) in cases {
        let (got, text) = connection.post("/v1/chat/completions", key, &body).await;
        assert_eq!(got, status, "{code}: {text}");
        assert!(
            text.contains(code) && text.contains(r#""ran":"no""#),
            "{text}"
        );
    }
    let (status, _) = connection
        .post("/v1/chat/completions", Some(&bearer), &chat(true))
        .await;
    assert_eq!(status, 200, "the connection is reused");
    assert_eq!(
        dispatched(&agents),
        1,
        "only the valid request is dispatched"
    );
}

#[tokio::test]
async fn no_target_sees_the_key_or_internal_headers() {
    let (control, mut agents, entry) = fleet(vec![]).await;
    agents.push(Agent::start("s0", vec![Behaviour::Plain("ok".to_owned())]).await);
    let service = clem_rules::Backend::Service(id("waitlist"));
    control.set_fleet(vec![agents[0].view(&service)]);
    let caller = entry.caller();
    let bearer = format!("bearer {KEY}");
    let cookie = format!("session={KEY}; theme=dark; x-clem-customer=botez");
    let encoded = KEY.replace('_', "%5F");
    let path = format!("/svc/waitlist/add?a=1&token={KEY}&b={encoded}&x-clem-key=1&c=2");
    eventually("a route to the service", || async {
        let headers = [
            ("authorization", bearer.as_str()),
            ("x-api-key", KEY),
            ("cookie", cookie.as_str()),
            ("x-clem-secret", "forged"),
            ("x-clem-customer", "botez"),
            ("connection", "x-private"),
            ("x-private", "1"),
            ("x-kept", "yes"),
        ];
        caller.send("POST", &path, &headers, "body").await.status == 200
    })
    .await;
    let dispatch = agents[0].state().dispatches[0].clone();
    assert_eq!(dispatch.call.path, "/add?a=1&c=2");
    let all = format!(
        "{:?}",
        dispatch
            .call
            .headers
            .iter()
            .map(|h| (&h.name, String::from_utf8_lossy(&h.value)))
            .collect::<Vec<_>>()
    );
    assert!(!all.contains("clem"), "{all}");
    assert!(
        !all.contains("authorization") && !all.contains("x-private"),
        "{all}"
    );
    assert!(
        all.contains("theme=dark") && all.contains("x-kept"),
        "{all}"
    );
}

#[tokio::test]
async fn a_stream_resumes_on_another_target_after_a_target_loss() {
    for cut in [Behaviour::LostAt(3), Behaviour::CutAt(3)] {
        let behaviours = vec![
            vec![cut.clone(), Behaviour::Tokens(8)],
            vec![cut.clone(), Behaviour::Tokens(8)],
        ];
        let (_control, agents, entry) = fleet(behaviours).await;
        let reply = entry.caller().chat(KEY, &chat(true)).await;
        // The first attempt always fails at token 3. The second may fail too, before any token;
        // the next attempt then completes the stream.
        assert!(
            reply
                .body
                .starts_with(&complete_stream(3)[..complete_stream(3).len() - 14]),
            "{}",
            reply.body
        );
        let resumed: Vec<_> = agents
            .iter()
            .flat_map(|agent| agent.state().dispatches.clone())
            .filter_map(|dispatch| dispatch.resume)
            .collect();
        assert!(resumed.iter().all(|tokens| tokens.0 == 3), "{resumed:?}");
        assert!(!resumed.is_empty(), "the stream is resumed");
    }
}

#[tokio::test]
async fn a_resumed_stream_is_whole() {
    let behaviours = vec![vec![Behaviour::CutAt(3), Behaviour::Tokens(8)]];
    let (control, mut agents, entry) = fleet(behaviours).await;
    let other = Agent::start("t1", vec![Behaviour::Tokens(8)]).await;
    // The second target repeats a token that was already relayed, and sends a frame of another
    // attempt.
    let repeated = vec![
        (
            0,
            Event::Head {
                status: 200,
                headers: vec![],
            },
        ),
        (
            0,
            Event::Token {
                index: 2,
                data: token(2),
            },
        ),
        (
            -1,
            Event::Token {
                index: 3,
                data: "of another attempt".to_owned(),
            },
        ),
        (
            0,
            Event::Token {
                index: 3,
                data: token(3),
            },
        ),
        (
            0,
            Event::End {
                load: Default::default(),
            },
        ),
    ];
    other.state().behaviours = vec![Behaviour::Frames(repeated)];
    agents.push(other);
    control.set_fleet(agents.iter().map(|agent| agent.view(&model())).collect());
    let caller = entry.caller();
    eventually("a request that tries the first target first", || async {
        let before = agents[0].dispatched();
        agents[0].state().behaviours = vec![Behaviour::CutAt(3), Behaviour::CutAt(3)];
        let reply = caller.chat(KEY, &chat(true)).await;
        let first = agents[0].state().dispatches.last().cloned();
        if agents[0].dispatched() == before || first.is_none_or(|first| first.attempt.0 != 1) {
            return false;
        }
        assert_eq!(reply.body, complete_stream(4));
        true
    })
    .await;
}

#[tokio::test]
async fn a_cut_answer_is_never_whole() {
    let (_control, _agents, entry) = fleet(vec![vec![Behaviour::CutAt(3)]]).await;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert!(!reply.body.contains("[DONE]"), "{}", reply.body);
    assert!(reply.body.contains("event: error") && reply.body.contains(r#""ran":"maybe""#));
    let plain = entry.caller().chat(KEY, &chat(false)).await;
    assert_eq!(plain.refusal().2, "maybe");
    assert_ne!(plain.status, 200);
}

#[tokio::test]
async fn a_gap_in_the_tokens_is_not_passed_off_as_whole() {
    let frames = vec![
        (
            0,
            Event::Head {
                status: 200,
                headers: vec![],
            },
        ),
        (
            0,
            Event::Token {
                index: 0,
                data: token(0),
            },
        ),
        (
            0,
            Event::Token {
                index: 2,
                data: token(2),
            },
        ),
        (
            0,
            Event::End {
                load: Default::default(),
            },
        ),
    ];
    let (_control, _agents, entry) = fleet(vec![vec![Behaviour::Frames(frames)]]).await;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert!(
        !reply.body.contains("[DONE]") && !reply.body.contains("\"index\":2"),
        "{}",
        reply.body
    );
}

#[tokio::test]
async fn a_refused_resume_does_not_end_a_stream_as_whole() {
    let behaviours = vec![
        vec![Behaviour::RefuseResume(3)],
        vec![Behaviour::RefuseResume(3)],
    ];
    let (_control, agents, entry) = fleet(behaviours).await;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert_eq!(dispatched(&agents), 2, "the stream is resumed");
    assert!(reply.body.contains("\"index\":2") && reply.body.contains("event: error"));
    assert!(!reply.body.contains("[DONE]"), "{}", reply.body);
}

#[tokio::test]
async fn a_refused_request_is_retried_on_other_targets_and_reported_as_not_run() {
    let (_control, agents, entry) = fleet(vec![
        vec![Behaviour::NotRun(NotRunReason::Overloaded)],
        vec![Behaviour::NotRun(NotRunReason::Draining)],
    ])
    .await;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert_eq!(reply.refusal().2, "no");
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(dispatched(&agents), 2, "each target is tried once");
}

#[tokio::test]
async fn a_silent_agent_is_fenced_and_the_truth_is_told() {
    let (_control, agents, entry) = fleet(vec![vec![Behaviour::Silent]]).await;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert_eq!(
        reply.refusal().2,
        "no",
        "the agent confirms that it never started"
    );
    assert_eq!(agents[0].state().fences.len(), 1);
    agents[0].state().fenced_unstarted = false;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert_eq!(
        reply.refusal().2,
        "maybe",
        "the agent had started it: {}",
        reply.body
    );
    agents[0].state().frozen = true;
    let reply = entry.caller().chat(KEY, &chat(true)).await;
    assert_eq!(
        reply.refusal().2,
        "maybe",
        "the agent does not reply: {}",
        reply.body
    );
}

#[tokio::test]
async fn a_caller_that_goes_away_frees_the_slot() {
    let (_control, agents, entry) = fleet(vec![vec![Behaviour::HangAt(2)]]).await;
    let caller = entry.caller();
    let bearer = format!("Bearer {KEY}");
    let response = caller
        .open(
            "POST",
            "/v1/chat/completions",
            &[("authorization", &bearer)],
            &chat(true),
        )
        .await;
    eventually("the dispatch", || async { dispatched(&agents) == 1 }).await;
    drop(response);
    drop(caller);
    eventually("the dispatch to be dropped", || async {
        agents[0].state().dropped == 1
    })
    .await;
    // Dropped because the caller disconnected, not because the agent was probed after a silence.
    assert!(agents[0].state().fences.is_empty());
}

#[tokio::test]
async fn a_withdrawn_key_ends_what_runs() {
    let (control, agents, entry) = fleet(vec![vec![Behaviour::HangAt(2)]]).await;
    let caller = entry.caller();
    let body = chat(true);
    let running = caller.chat(KEY, &body);
    let withdraw = async {
        eventually("the dispatch", || async { dispatched(&agents) == 1 }).await;
        let mut next = rules(1);
        let delta = clem_rules::Delta {
            from: Version(1),
            to: Version(2),
            put: vec![],
            removed: vec![id("key.totara-1")],
        };
        assert!(next.apply(delta));
        control.state().rules = next;
    };
    let (reply, ()) = tokio::join!(running, withdraw);
    assert!(
        reply.body.contains("key_withdrawn") && !reply.body.contains("[DONE]"),
        "{}",
        reply.body
    );
    let again = caller.chat(KEY, &body).await;
    assert_eq!(
        again.refusal(),
        (401, "key_unknown".to_owned(), "no".to_owned())
    );
}

#[tokio::test]
async fn without_a_lease_keyed_requests_are_not_run() {
    let (control, agents, entry) = fleet(vec![vec![Behaviour::Tokens(1)]]).await;
    let caller = entry.caller();
    control.state().up = false;
    eventually("the lease to end", || async {
        caller.send("GET", "/readyz", &[], "").await.status == 503
    })
    .await;
    let before = dispatched(&agents);
    let reply = caller.chat(KEY, &chat(true)).await;
    assert_eq!(
        reply.refusal(),
        (503, "no_lease".to_owned(), "no".to_owned())
    );
    assert_eq!(dispatched(&agents), before);
    // A new entry that has loaded no rules serves nothing, not even open routes.
    let fresh = EntryProcess::start(&control).await;
    let reply = fresh.caller().chat(KEY, &chat(true)).await;
    assert_eq!(reply.refusal().1, "no_lease");
    let reply = fresh
        .caller()
        .send("GET", "/svc/hours/today", &[], "")
        .await;
    assert_eq!(reply.refusal().1, "no_lease");
}

#[tokio::test]
async fn the_rate_limit_is_enforced_and_refusals_have_a_retry_delay() {
    let (_control, agents, entry) = fleet(vec![vec![Behaviour::Tokens(1)]]).await;
    let caller = entry.caller();
    let body = chat(true);
    let key = "clem_00000000000000000000000000000002";
    let replies = futures_util::future::join_all((0..20).map(|_| caller.chat(key, &body))).await;
    let ran = replies.iter().filter(|reply| reply.status == 200).count();
    assert!(ran <= 5, "burst 4 at 2/s: {ran} ran");
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        assert_eq!(
            reply.refusal(),
            (429, "rate_limited".to_owned(), "no".to_owned())
        );
        assert!(reply.headers.contains_key("retry-after"), "{}", reply.body);
    }
    assert_eq!(dispatched(&agents), ran);
}

#[tokio::test]
async fn a_planned_stop_cuts_off_no_request() {
    let (_control, agents, entry) =
        fleet(vec![vec![Behaviour::HangAt(2), Behaviour::Tokens(2)]]).await;
    let caller = entry.caller();
    let body = chat(true);
    let running = tokio::spawn({
        let caller = caller.clone();
        let body = body.clone();
        async move { caller.chat(KEY, &body).await }
    });
    eventually("the dispatch", || async { dispatched(&agents) == 1 }).await;
    entry.signal(nix::sys::signal::Signal::SIGTERM);
    eventually("readiness to be withdrawn", || async {
        caller.send("GET", "/readyz", &[], "").await.status == 503
    })
    .await;
    entry.signal(nix::sys::signal::Signal::SIGTERM);
    let reply = caller.chat(KEY, &body).await;
    assert_eq!(
        reply.body,
        complete_stream(2),
        "it serves until the load balancer has removed it"
    );
    assert!(!running.is_finished());
    running.abort();
    assert_eq!(entry.exit_code().await, Some(0));
}

#[tokio::test]
async fn poison_is_refused_at_once_and_suspects_run_apart() {
    use clem_types::BodyHash;
    use clem_wire::sync::{PoisonEntry, PoisonList, Verdict};
    let (control, agents, entry) = fleet(vec![vec![Behaviour::Tokens(1)]]).await;
    let bad = r#"{"model":"assistant","stream":true,"messages":[{"role":"user","content":"bad"}]}"#;
    let entry_of = |body: &str, verdict| PoisonEntry {
        customer: Some(id("totara")),
        body: BodyHash::of(body.as_bytes()),
        verdict,
    };
    control.state().poison = PoisonList {
        version: Version(1),
        entries: vec![
            entry_of(bad, Verdict::Poison),
            entry_of(&chat(true), Verdict::Suspect),
        ],
    };
    let caller = entry.caller();
    eventually("the poison list", || async {
        caller.chat(KEY, bad).await.status == 422
    })
    .await;
    let reply = caller.chat(KEY, bad).await;
    assert_eq!(
        reply.refusal(),
        (422, "poisoned".to_owned(), "no".to_owned())
    );
    assert!(
        !reply.headers.contains_key("retry-after"),
        "a retry is pointless"
    );
    let reply = caller.chat(KEY, &chat(true)).await;
    assert_eq!(reply.status, 200);
    assert!(
        agents[0]
            .state()
            .dispatches
            .last()
            .expect("a dispatch")
            .suspect
    );
}
