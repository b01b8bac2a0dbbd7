//! Pages of results.

use std::time::Duration;

use clem_edge::{BatchSpec, ItemSpec, ItemStatus};
use clem_state::{
    Command, Outcome, apply,
    jobs::{self, EndedItem, JobCommand, JobNumber},
};
use clem_store::MemStore;
use clem_types::{ItemIndex, UnixMillis, Version};
use clem_wire::jobs::{JobOptions, SubmitJob};

/// Size of a page, in bytes.
const PAGE: usize = 10_000;
const ITEMS: u32 = 40;

/// The length of a text between quotes, with each line feed, quote and control character escaped.
fn quoted(text: &str) -> usize {
    let size = |c: char| match c {
        '"' | '\\' | '\n' | '\r' | '\t' => 2,
        c if c.is_control() => 6,
        c => c.len_utf8(),
    };
    text.chars().map(size).sum()
}

#[test]
fn a_page_of_short_lines_is_not_longer_than_it_may_be() {
    let mut store = MemStore::default();
    let mut items = Vec::new();
    for number in 0..ITEMS {
        items.push(ItemSpec {
            id: format!("item-{number}"),
            path: "/item".to_owned(),
            headers: Vec::new(),
            body: "a prompt".into(),
            tokens: 1,
        });
    }
    let spec = BatchSpec {
        id: "batch".to_owned(),
        items,
    };
    let options = JobOptions {
        route: "route".to_owned(),
        host: "one.example".to_owned(),
        service: "engines".to_owned(),
        rules: Version(1),
        rank: 0,
        due: Duration::from_secs(10),
        keep: Duration::from_secs(10),
        attempts: 1,
        token_cap: 0,
    };
    let call = SubmitJob {
        customer: "customer".to_owned(),
        spec,
        options,
    };
    let now = UnixMillis(1);
    let submit = Command::Job(JobCommand::Submit { call, now });
    assert!(matches!(apply(&mut store, 1, &submit), Ok(Outcome::Job(_))));
    let mut ended = Vec::new();
    for item in (0..ITEMS).map(ItemIndex) {
        ended.push(EndedItem {
            job: JobNumber(1),
            item,
            state: ItemStatus::Completed,
            text: "ab\n\"\t\u{1}".repeat(100),
        });
    }
    apply(&mut store, 2, &Command::Job(JobCommand::List(ended))).expect("applied");
    let page = jobs::results(&store, JobNumber(1), 0, PAGE).expect("read");
    let size: usize = page.iter().map(|result| quoted(&result.text)).sum();
    assert!(size <= PAGE, "{size} bytes");
    assert!(size > PAGE / 2, "{size} bytes");
}
