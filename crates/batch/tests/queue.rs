//! Which items the queue hands out, and until when it keeps them.

use std::time::Duration;

use clem_batch::ItemQueue;
use clem_state::jobs::{Job, JobNumber};
use clem_types::{ItemIndex, Time, UnixMillis, Version};
use clem_wire::jobs::{JobName, JobOptions};

/// Until when items are kept, and a moment long after that.
const KEEP: Duration = Duration::from_secs(60);
const LATE: UnixMillis = UnixMillis(100_000);
/// The present time of tests with spans at the end of their range.
const NOW: UnixMillis = UnixMillis(1_790_000_000_000);

fn add(queue: &mut ItemQueue, number: u64, route: &str, due_s: u64) {
    let job = Job {
        number: JobNumber(number),
        name: JobName {
            customer: "one".to_owned(),
            id: number.to_string(),
        },
        options: JobOptions {
            route: route.to_owned(),
            host: "one.example".to_owned(),
            service: "s".to_owned(),
            rules: Version(1),
            rank: 0,
            due: Duration::from_secs(due_s),
            keep: KEEP,
            attempts: 3,
            token_cap: 0,
        },
        items: vec!["a".to_owned(), "b".to_owned()],
        accepted: UnixMillis(0),
    };
    queue.add(job, (0..2).map(ItemIndex));
}

fn take(queue: &mut ItemQueue, wall: UnixMillis, places: impl Fn(&str) -> usize) -> Option<u64> {
    let ready = queue.take(Time::ZERO, wall, |job| places(&job.options.route))?;
    Some(ready.job.number.0)
}

#[test]
fn a_route_without_places_holds_up_no_later_job() {
    let mut queue = ItemQueue::default();
    add(&mut queue, 1, "stuck", 1);
    add(&mut queue, 2, "stuck", 2);
    add(&mut queue, 3, "free", 3);
    let places = |route: &str| if route == "free" { 8 } else { 0 };
    assert_eq!(take(&mut queue, UnixMillis(0), places), Some(3));
    assert_eq!(take(&mut queue, UnixMillis(0), places), Some(3));
    assert_eq!(take(&mut queue, UnixMillis(0), places), None);
    assert_eq!(queue.waiting(), 4);
    assert_eq!(take(&mut queue, UnixMillis(0), |_| 8), Some(1));
}

#[test]
fn a_route_gets_no_more_items_than_its_places() {
    let mut queue = ItemQueue::default();
    add(&mut queue, 1, "first", 1);
    add(&mut queue, 2, "first", 2);
    add(&mut queue, 3, "second", 3);
    for expected in [Some(1), Some(1), Some(2), Some(3), Some(3), None] {
        assert_eq!(take(&mut queue, UnixMillis(0), |_| 3), expected);
    }
    queue.finish(JobNumber(1), ItemIndex(0));
    assert_eq!(take(&mut queue, UnixMillis(0), |_| 3), Some(2));
}

#[test]
fn items_whose_time_is_over_are_given_up_without_a_place() {
    let mut queue = ItemQueue::default();
    add(&mut queue, 1, "stuck", 1);
    assert_eq!(take(&mut queue, UnixMillis(0), |_| 0), None);
    assert_eq!(take(&mut queue, LATE, |_| 0), Some(1));
}

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
        let ready = queue.take(Time::ZERO, NOW, |_| 1).expect("an item");
        assert!(ready.due > NOW && ready.keep > NOW, "{span:?}: {ready:?}");
    }
}

#[test]
fn an_item_that_was_put_back_leaves_its_place_to_others() {
    let mut queue = ItemQueue::default();
    add(&mut queue, 1, "first", 1);
    add(&mut queue, 2, "first", 2);
    let take_at = |queue: &mut ItemQueue, millis: u64| {
        let ready = queue.take(Time::from_millis(millis), UnixMillis(0), |_| 2)?;
        Some((ready.job.number.0, ready.item.0))
    };
    assert_eq!(take_at(&mut queue, 0), Some((1, 0)));
    assert_eq!(take_at(&mut queue, 0), Some((1, 1)));
    assert_eq!(take_at(&mut queue, 0), None, "no place is left");
    for item in 0..2 {
        let from = Time::from_millis(500);
        assert!(queue.put_back(from, JobNumber(1), ItemIndex(item)));
        assert!(!queue.put_back(from, JobNumber(1), ItemIndex(item)));
    }
    assert_eq!(take_at(&mut queue, 499), Some((2, 0)));
    assert_eq!(take_at(&mut queue, 500), Some((1, 0)), "it is due first");
    assert_eq!(take_at(&mut queue, 500), None, "two are taken");
    queue.finish(JobNumber(2), ItemIndex(0));
    assert_eq!(take_at(&mut queue, 500), Some((1, 1)));
    queue.end(JobNumber(1));
    let from = Time::from_millis(900);
    assert!(!queue.put_back(from, JobNumber(1), ItemIndex(1)), "deleted");
    assert_eq!(take_at(&mut queue, 900), Some((2, 1)));
}

/// After a lapse of the lease within one term the queue is built anew, and runs of before go on.
#[test]
fn a_result_of_a_run_from_before_a_lapse_takes_no_other_item_out_of_the_queue() {
    let mut queue = ItemQueue::default();
    add(&mut queue, 1, "first", 1);
    let (job, first, second) = (JobNumber(1), ItemIndex(0), ItemIndex(1));
    // The new run of the first item has begun when that of before is recorded.
    assert_eq!(take(&mut queue, UnixMillis(0), |_| 1), Some(1));
    queue.finish(job, first);
    assert!(queue.is_open(job), "the second item is owed");
    assert_eq!(take(&mut queue, UnixMillis(0), |_| 1), Some(1));
    // The new run ends, too, or is held back.
    queue.finish(job, first);
    assert!(!queue.put_back(Time::ZERO, job, first));
    assert!(queue.is_open(job), "the second item is taken");
    assert_eq!((queue.waiting(), queue.running()), (0, 1));
    // The second item is held back by its parts, and another run of it is recorded.
    assert!(queue.put_back(Time::ZERO, job, second));
    queue.finish(job, second);
    assert!(queue.is_open(job), "its item is looked up when it is taken");
    assert_eq!(take(&mut queue, UnixMillis(0), |_| 1), Some(1));
    queue.finish(job, second);
    assert!(!queue.is_open(job));
    assert_eq!((queue.waiting(), queue.running()), (0, 0));
}
