//! What is counted and named of items without a recorded result.

use std::{sync::Arc, time::Duration};

use clem_batch::{IdleItem, ItemQueue, ItemState, ItemWatch, ReadyItem};
use clem_state::jobs::{Job, JobNumber};
use clem_types::{ItemIndex, Time, UnixMillis, Version};
use clem_wire::jobs::{JobName, JobOptions};

const KEEP: Duration = Duration::from_secs(600);
/// When the batches of these tests were accepted.
const ACCEPTED: UnixMillis = UnixMillis(1_790_000_000_000);

fn job(number: u64, items: u32) -> Job {
    Job {
        number: JobNumber(number),
        name: JobName {
            customer: "one".to_owned(),
            id: format!("lot{number}"),
        },
        options: JobOptions {
            route: "letters".to_owned(),
            host: "one.example".to_owned(),
            service: "s".to_owned(),
            rules: Version(1),
            rank: 0,
            due: Duration::from_secs(number),
            keep: KEEP,
            attempts: 3,
            token_cap: 0,
        },
        items: (0..items).map(|item| format!("i{item}")).collect(),
        accepted: UnixMillis(ACCEPTED.0 + number * 1000),
    }
}

fn add(queue: &mut ItemQueue, number: u64, items: u32) {
    queue.add(job(number, items), (0..items).map(ItemIndex));
}

fn take(queue: &mut ItemQueue, watch: &mut ItemWatch, now: Time) -> ReadyItem {
    let ready = queue.take(now, ACCEPTED, |_| 64).expect("an item");
    watch.take(now, &ready.job, ready.item);
    ready
}

fn set(watch: &mut ItemWatch, now: Time, ready: &ReadyItem, state: ItemState) {
    watch.set(now, ready.job.number, ready.item, state);
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

#[test]
fn each_item_without_a_recorded_result_is_counted_where_it_is() {
    let mut queue = ItemQueue::default();
    let mut watch = ItemWatch::new(at(0));
    add(&mut queue, 1, 6);
    add(&mut queue, 2, 2);
    let taken: Vec<ReadyItem> = (0..5)
        .map(|_| take(&mut queue, &mut watch, at(0)))
        .collect();
    set(&mut watch, at(1), &taken[0], ItemState::Running);
    set(&mut watch, at(1), &taken[1], ItemState::Suspected);
    set(&mut watch, at(1), &taken[2], ItemState::Blocked);
    set(&mut watch, at(1), &taken[3], ItemState::Ended);
    set(&mut watch, at(4), &taken[0], ItemState::Ended);
    set(&mut watch, at(4), &taken[4], ItemState::Blocked);
    queue.put_back(at(8), JobNumber(1), taken[4].item);
    watch.put_back(JobNumber(1), taken[4].item);
    let wall = UnixMillis(ACCEPTED.0 + 9000);
    let counts = watch.counts(at(7), wall, &queue);
    assert_eq!((counts.queued, counts.delayed), (3, 1));
    assert_eq!(counts.of(ItemState::Suspected), 1);
    assert_eq!(counts.of(ItemState::Blocked), 2);
    assert_eq!(counts.held.get(&ItemState::Blocked), Some(&1));
    assert_eq!(counts.of(ItemState::Running), 0);
    assert_eq!(counts.of(ItemState::Ended), 2);
    assert_eq!(counts.total(), 8);
    assert_eq!(counts.oldest, Duration::from_secs(8));
    assert_eq!(counts.oldest_ended, Duration::from_secs(6));
    for ready in &taken[..4] {
        queue.finish(ready.job.number, ready.item);
        watch.remove(ready.job.number, ready.item);
    }
    let counts = watch.counts(at(7), wall, &queue);
    assert_eq!((counts.total(), counts.oldest_ended), (4, Duration::ZERO));
}

#[test]
fn an_item_at_no_target_is_named_ever_more_rarely_with_what_it_waits_for() {
    let mut queue = ItemQueue::default();
    let mut watch = ItemWatch::new(at(0));
    add(&mut queue, 1, 1);
    let ready = take(&mut queue, &mut watch, at(0));
    let mut named = Vec::new();
    for second in 0..80 {
        // Each request for a slot is refused anew, and the item waits in the queue meanwhile.
        set(&mut watch, at(second), &ready, ItemState::Blocked);
        if second % 2 == 0 {
            watch.put_back(JobNumber(1), ready.item);
        } else {
            watch.take(at(second), &ready.job, ready.item);
        }
        let idle = watch.take_idle(at(second), &queue);
        for item in idle {
            assert_eq!((item.item.as_str(), item.batch.as_str()), ("i0", "lot1"));
            assert_eq!(item.state, Some(ItemState::Blocked));
            named.push(item.idle.as_secs());
        }
    }
    assert_eq!(named, [5, 15, 35, 75]);
    set(&mut watch, at(80), &ready, ItemState::Running);
    assert_eq!(watch.take_idle(at(200), &queue), []);
    watch.end_run(at(200), JobNumber(1), ready.item);
    assert_eq!(watch.take_idle(at(204), &queue), []);
    assert_eq!(watch.take_idle(at(205), &queue).len(), 1);
}

#[test]
fn a_report_names_the_items_that_wait_longest_and_the_first_of_the_queue() {
    let mut queue = ItemQueue::default();
    let mut watch = ItemWatch::new(at(0));
    add(&mut queue, 1, 20);
    add(&mut queue, 2, 2);
    for second in 0..20 {
        take(&mut queue, &mut watch, at(second));
    }
    assert_eq!(watch.take_idle(at(20), &queue).len(), 8);
    let state = |item: &IdleItem| (item.item.clone(), item.state);
    let idle = watch.take_idle(at(25), &queue);
    let first = idle.iter().map(state).take(2).collect::<Vec<_>>();
    let placing = Some(ItemState::Placing);
    let expected = [("i8".to_owned(), placing), ("i9".to_owned(), placing)];
    assert_eq!(first, expected, "those named before are left out");
    assert_eq!(idle.last().map(state), Some(("i0".to_owned(), None)));
    let queued = idle.last().expect("the first of the queue");
    assert_eq!((queued.batch.as_str(), queued.idle.as_secs()), ("lot2", 5));
}

#[test]
fn what_another_leadership_took_is_not_counted() {
    let mut queue = ItemQueue::default();
    let mut watch = ItemWatch::new(at(0));
    add(&mut queue, 1, 1);
    let ready = take(&mut queue, &mut watch, at(0));
    watch.clear();
    let queue = ItemQueue::default();
    set(&mut watch, at(1), &ready, ItemState::Ended);
    assert_eq!(watch.counts(at(1), ACCEPTED, &queue).total(), 0);
    let job = Arc::clone(&ready.job);
    watch.take(at(2), &job, ready.item);
    assert_eq!(watch.counts(at(2), ACCEPTED, &queue).total(), 1);
}

#[test]
fn reports_come_at_intervals() {
    let mut watch = ItemWatch::new(at(0));
    let due: Vec<u64> = (0..12)
        .filter(|second| watch.take_due(at(*second)))
        .collect();
    assert_eq!(due, [5, 10]);
}

#[test]
fn items_of_deleted_jobs_are_not_counted() {
    let mut queue = ItemQueue::default();
    let mut watch = ItemWatch::new(at(0));
    add(&mut queue, 1, 1);
    let ready = take(&mut queue, &mut watch, at(0));
    queue.put_back(at(1), JobNumber(1), ready.item);
    watch.put_back(JobNumber(1), ready.item);
    queue.end(JobNumber(1));
    watch.retain(|job| queue.is_open(job));
    assert_eq!(watch.counts(at(2), ACCEPTED, &queue).held.len(), 0);
    assert_eq!(watch.take_idle(at(60), &queue), []);
}
