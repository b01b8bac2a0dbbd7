//! Bodies whose tasks have not noticed yet that they gave way.

use std::time::Duration;

use clem_intake::BodyStore;
use clem_types::Time;

const MAX: usize = 1000;
/// Longer than the tasks of a test take.
const HANG_TIME: Duration = Duration::from_secs(10);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Guards against two bodies that wait for each other to leave the memory.
#[tokio::test]
async fn a_body_that_gave_way_is_told_so_when_it_asks_for_more() {
    let store = BodyStore::new(MAX);
    let large = store.open(at(0), "one");
    assert!(large.take(at(0), 800).await);
    let small = store.open(at(1), "two");
    let taken = async {
        let more = large.take(at(1), 850).await;
        drop(large);
        more
    };
    let both = async { tokio::join!(small.take(at(1), 500), taken) };
    let both = tokio::time::timeout(HANG_TIME, both).await;
    assert_eq!(both, Ok((true, false)));
    assert_eq!(store.used_bytes(), 500);
}

/// Guards against room that is used again while the bytes are still in memory.
#[tokio::test]
async fn a_body_waits_until_what_gave_way_is_out_of_memory() {
    let store = BodyStore::new(MAX);
    let large = store.open(at(0), "one");
    assert!(large.take(at(0), 800).await);
    let small = store.open(at(1), "two");
    let waits = tokio::time::timeout(Duration::from_millis(50), small.take(at(1), 500));
    assert!(waits.await.is_err());
    assert!(!store.is_settled());
    drop(large);
    assert!(store.is_settled());
}

/// Guards against room that is given back while a copy of the bytes is used.
#[tokio::test]
async fn bytes_hold_their_room_as_long_as_a_copy_is_used() {
    let store = BodyStore::new(MAX);
    let place = store.open(at(0), "one");
    assert!(place.take(at(0), 300).await);
    let bytes = place.attach("a body".into());
    let copy = bytes.slice(2..);
    drop(bytes);
    assert_eq!(store.used_bytes(), 300);
    drop(copy);
    assert_eq!(store.used_bytes(), 0);
}
