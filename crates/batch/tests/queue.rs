//! The queue of items with times at the ends of their range, as an operator's rules may set them.

use std::time::Duration;

use clem_batch::ItemQueue;
use clem_state::jobs::{Job, JobNumber};
use clem_types::{ItemIndex, Time, UnixMillis, Version};
use clem_wire::jobs::{JobName, JobOptions};

const NOW: UnixMillis = UnixMillis(1_790_000_000_000);

#[test]
fn an_item_that_may_be_kept_for_ages_is_not_given_up_at_once() {
    for span in [
        Duration::from_millis(u64::MAX),
        Duration::from_millis(u64::MAX - NOW.0),
        Duration::MAX,
    ] {
        let mut queue = ItemQueue::default();
        let job = Job {
            number: JobNumber(1),
            name: JobName {
                customer: "one".to_owned(),
                id: "lot".to_owned(),
            },
            options: JobOptions {
                route: "batch".to_owned(),
                host: "one.example".to_owned(),
                service: "engines".to_owned(),
                rules: Version(1),
                rank: 0,
                due: span,
                keep: span,
                attempts: 3,
                token_cap: 0,
            },
            items: vec!["i1".to_owned()],
            accepted: NOW,
        };
        queue.add(job, [ItemIndex(0)]);
        let ready = queue.take(Time::ZERO).expect("an item");
        assert!(ready.due > NOW && ready.keep > NOW, "{span:?}: {ready:?}");
    }
}
