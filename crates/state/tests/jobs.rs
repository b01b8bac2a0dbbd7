//! Batches of the direct path: how the tokens of items count against a customer's cap.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use clem_edge::{BatchSpec, ItemSpec};
use clem_state::{
    Command, Outcome, apply,
    jobs::{JobCommand, JobOutcome},
};
use clem_store::MemStore;
use clem_types::{UnixMillis, Version};
use clem_wire::jobs::{JobOptions, SubmitJob, SubmitReply};

fn submit(store: &mut MemStore, index: u64, tokens: &[u64], cap: u64) -> SubmitReply {
    let items = tokens.iter().enumerate().map(|(n, tokens)| ItemSpec {
        id: format!("i{n}"),
        path: "/batch/1".to_owned(),
        headers: Vec::new(),
        body: Default::default(),
        tokens: *tokens,
    });
    let call = SubmitJob {
        customer: "one".to_owned(),
        spec: BatchSpec {
            id: format!("lot-{index}"),
            items: items.collect(),
        },
        options: JobOptions {
            route: "batch".to_owned(),
            host: "one.example".to_owned(),
            service: "engines".to_owned(),
            rules: Version(1),
            rank: 0,
            due: Duration::from_secs(60),
            keep: Duration::from_secs(60),
            attempts: 3,
            token_cap: cap,
        },
    };
    let now = UnixMillis(1);
    let command = Command::Job(JobCommand::Submit { call, now });
    match apply(store, index, &command).unwrap() {
        Outcome::Job(JobOutcome::Submitted(reply, _)) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn tokens_beyond_any_number_dont_fit_under_a_cap() {
    let mut store = MemStore::default();
    assert_eq!(
        submit(&mut store, 1, &[u64::MAX, 2], 1000),
        SubmitReply::Full
    );
    assert_eq!(submit(&mut store, 2, &[600], 1000), SubmitReply::Accepted);
    assert_eq!(
        submit(&mut store, 3, &[u64::MAX - 1], 1000),
        SubmitReply::Full
    );
    // Without a cap they are accepted, and others of the customer still are.
    assert_eq!(
        submit(&mut store, 4, &[u64::MAX, u64::MAX], 0),
        SubmitReply::Accepted
    );
    assert_eq!(submit(&mut store, 5, &[u64::MAX], 0), SubmitReply::Accepted);
    assert_eq!(submit(&mut store, 6, &[1], 1000), SubmitReply::Full);
}
