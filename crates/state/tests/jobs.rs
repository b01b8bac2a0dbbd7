//! Batches of the direct path: how the tokens of items count against a customer's cap, and which results
//! and open items are kept.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use clem_edge::{BatchSpec, ItemSpec, ItemStatus};
use clem_state::{
    Command, Outcome, apply,
    jobs::{self, EndedItem, JobCommand, JobNumber, JobOutcome},
};
use clem_store::MemStore;
use clem_types::{ItemIndex, UnixMillis, Version};
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

fn record(store: &mut MemStore, index: u64, item: u32, state: ItemStatus, text: &str) {
    let ended = EndedItem {
        job: JobNumber(1),
        item: ItemIndex(item),
        state,
        text: text.to_owned(),
    };
    let command = Command::Job(JobCommand::List(vec![ended]));
    apply(store, index, &command).unwrap();
}

/// Two runs of an item may end: one of before a lapse of the lease, and one that was begun after it.
#[test]
fn an_item_has_one_result_however_many_of_its_runs_end() {
    let mut store = MemStore::default();
    assert_eq!(submit(&mut store, 1, &[5, 7], 0), SubmitReply::Accepted);
    record(&mut store, 2, 1, ItemStatus::Completed, "first");
    record(&mut store, 3, 1, ItemStatus::Errored, "");
    record(&mut store, 4, 1, ItemStatus::Completed, "another");
    let results = jobs::results(&store, JobNumber(1), 0, 1000).unwrap();
    let results: Vec<_> = results
        .iter()
        .map(|result| (result.id.as_str(), result.text.as_str()))
        .collect();
    assert_eq!(results, [("i1", "first")]);
    let progress = jobs::progress(&store, JobNumber(1)).unwrap();
    assert_eq!((progress.listed, progress.tokens), (1, 5));
    assert!(
        jobs::item(&store, JobNumber(1), ItemIndex(1))
            .unwrap()
            .is_none()
    );
}

/// The leader that proposed a submission may be lost before it knows of the commit.
#[test]
fn what_a_new_leader_queues_has_each_committed_item_without_a_result() {
    let mut store = MemStore::default();
    assert_eq!(submit(&mut store, 1, &[5, 7], 0), SubmitReply::Accepted);
    record(&mut store, 2, 0, ItemStatus::Completed, "done");
    assert_eq!(submit(&mut store, 3, &[1], 0), SubmitReply::Accepted);
    let open = jobs::open(&store).unwrap();
    let open: Vec<_> = open
        .into_iter()
        .map(|(job, items)| (job.number, items))
        .collect();
    let expected = [
        (JobNumber(1), vec![ItemIndex(1)]),
        (JobNumber(3), vec![ItemIndex(0)]),
    ];
    assert_eq!(open, expected);
}
