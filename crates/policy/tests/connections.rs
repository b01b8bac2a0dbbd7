//! Connections without a request beside ordinary ones: new ones find room, and no request in progress is lost.

use std::time::Duration;

use clem_policy::connections::{ConnectionNumber, Connections, Opening};
use clem_types::Time;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn kept(connections: &mut Connections, now: Time) -> ConnectionNumber {
    match connections.open(now) {
        Opening::Kept(number) => number,
        other => panic!("{other:?}"),
    }
}

/// Guards against connections that are refused while idle ones use up all places.
#[test]
fn a_new_connection_replaces_the_one_that_has_waited_longest() {
    let mut connections = Connections::new(3);
    let numbers: Vec<_> = (0..3).map(|n| kept(&mut connections, at(n))).collect();
    connections.begin_request(numbers[0]);
    connections.wait(at(10), numbers[0]);
    let Opening::Replaces(fourth, replaced) = connections.open(at(20)) else {
        panic!("a place is taken");
    };
    assert_eq!(replaced, numbers[1]);
    connections.begin_request(numbers[2]);
    connections.begin_request(fourth);
    assert!(matches!(connections.open(at(30)), Opening::Replaces(_, first) if first == numbers[0]));
    assert_eq!(connections.count(), 3);
}

/// Guards against answers that are lost since a new connection comes.
#[test]
fn connections_with_requests_in_progress_are_kept() {
    let mut connections = Connections::new(2);
    let first = kept(&mut connections, at(0));
    let second = kept(&mut connections, at(0));
    connections.begin_request(first);
    connections.begin_request(second);
    assert_eq!(connections.open(at(60_000)), Opening::Refused);
    connections.close(first);
    kept(&mut connections, at(60_000));
    assert_eq!(connections.count(), 2);
}

/// Guards against a place that is counted although its connection has gone.
#[test]
fn a_connection_that_was_replaced_takes_no_place_when_it_ends() {
    let mut connections = Connections::new(1);
    let first = kept(&mut connections, at(0));
    assert!(matches!(connections.open(at(1)), Opening::Replaces(_, _)));
    connections.wait(at(2), first);
    connections.close(first);
    assert_eq!(connections.count(), 1);
}
