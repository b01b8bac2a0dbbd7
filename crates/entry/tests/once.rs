//! At-most-once calls: replay of results and recording of outcomes.

mod support;

use clem_rules::Backend;
use clem_wire::{dispatch::NotRunReason, online::OnceOutcome};
use support::{
    Agent, Behaviour, Control, EntryProcess, Reply,
    control::{KEY, id},
    eventually,
};

async fn fleet(behaviours: Vec<Behaviour>) -> (Control, Agent, EntryProcess) {
    let control = Control::start().await;
    let agent = Agent::start("s0", behaviours).await;
    control.set_fleet(vec![agent.view(&Backend::Service(id("waitlist")))]);
    let entry = EntryProcess::ready(&control).await;
    (control, agent, entry)
}

async fn confirm(entry: &EntryProcess, key: &str) -> Reply {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    entry
        .caller()
        .send("POST", "/svc/waitlist/confirm", &headers, "child 7")
        .await
}

#[tokio::test]
async fn a_resend_gets_the_first_result_through_any_entry() {
    let (control, agent, entry) = fleet(vec![Behaviour::Plain("confirmed".to_owned())]).await;
    let other = EntryProcess::ready(&control).await;
    let first = confirm(&entry, "k1").await;
    let second = confirm(&other, "k1").await;
    assert_eq!((first.status, first.body.as_str()), (200, "confirmed"));
    assert_eq!((second.status, second.body.as_str()), (200, "confirmed"));
    assert!(second.headers.contains_key("x-clem-replayed"));
    assert_eq!(agent.dispatched(), 1);
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_never_retried() {
    let (_control, agent, entry) = fleet(vec![Behaviour::LostAt(0)]).await;
    let first = confirm(&entry, "k1").await;
    assert_eq!(first.refusal().2, "maybe");
    let second = confirm(&entry, "k1").await;
    assert_eq!(
        second.refusal(),
        (409, "outcome_unknown".to_owned(), "maybe".to_owned())
    );
    assert_eq!(agent.dispatched(), 1);
    // Without an idempotency key the route is still not idempotent, so there is no retry either.
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let plain = entry
        .caller()
        .send("POST", "/svc/waitlist/confirm", &headers, "child 8")
        .await;
    assert_eq!(plain.refusal().2, "maybe");
    assert_eq!(agent.dispatched(), 2);
}

#[tokio::test]
async fn a_call_that_did_not_run_may_be_sent_again() {
    let behaviours = vec![
        Behaviour::NotRun(NotRunReason::Overloaded),
        Behaviour::Plain("confirmed".to_owned()),
    ];
    let (control, agent, entry) = fleet(behaviours).await;
    let first = confirm(&entry, "k1").await;
    assert_eq!(first.refusal().2, "no");
    eventually("the record to be dropped", || async {
        control.state().once.is_empty()
    })
    .await;
    let second = confirm(&entry, "k1").await;
    assert_eq!((second.status, second.body.as_str()), (200, "confirmed"));
    assert_eq!(agent.dispatched(), 2);
}

#[tokio::test]
async fn the_outcome_is_recorded_after_the_caller_disconnects() {
    let (control, agent, entry) = fleet(vec![Behaviour::Plain("confirmed".to_owned())]).await;
    let caller = entry.caller();
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "k1"),
    ];
    let call = caller.send("POST", "/svc/waitlist/confirm", &headers, "child 7");
    // The caller disconnects before or after the answer; the outcome is recorded in both cases.
    let _ = tokio::time::timeout(std::time::Duration::from_millis(3), call).await;
    eventually("the record", || async {
        agent.dispatched() == 0
            || matches!(
                control.state().once.get("k1"),
                Some((_, Some(OnceOutcome::Done(_))))
            )
    })
    .await;
}
