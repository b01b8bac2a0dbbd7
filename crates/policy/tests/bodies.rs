//! Bodies of crowds beside ordinary callers: the bytes are bounded, one customer leaves room for others, and stalled
//! bodies block nobody.

use std::time::Duration;

use clem_policy::bodies::{Bodies, BodyGrowth, BodyNumber};
use clem_types::Time;

const MAX: usize = 8000;
const LARGE: usize = 1000;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn granted(bodies: &mut Bodies, now: Time, number: BodyNumber, bytes: usize) -> Vec<BodyNumber> {
    match bodies.grow(now, number, bytes) {
        BodyGrowth::Granted(dropped) => dropped,
        BodyGrowth::Refused => panic!("{number:?} was refused"),
    }
}

/// Fills the part of a customer with large bodies.
fn crowd(bodies: &mut Bodies, customer: &str) -> Vec<BodyNumber> {
    let mut numbers = Vec::new();
    loop {
        let number = bodies.begin(at(0), customer);
        match bodies.grow(at(0), number, LARGE) {
            BodyGrowth::Granted(dropped) => assert!(dropped.is_empty()),
            BodyGrowth::Refused => return numbers,
        }
        numbers.push(number);
    }
}

/// Guards against a customer whose crowd takes everything.
#[test]
fn one_customers_crowd_leaves_room_for_others() {
    let mut bodies = Bodies::new(MAX);
    let numbers = crowd(&mut bodies, "big");
    assert_eq!(numbers.len(), 7);
    let other = bodies.begin(at(0), "other");
    assert!(granted(&mut bodies, at(0), other, LARGE).is_empty());
    assert_eq!(bodies.used_bytes(), MAX);
}

/// Guards against small bodies that are refused while large unfinished ones hold the room.
#[test]
fn a_small_body_takes_the_place_of_a_larger_unfinished_one_and_never_of_a_complete_one() {
    let mut bodies = Bodies::new(MAX);
    let numbers = crowd(&mut bodies, "big");
    for number in &numbers[1..] {
        assert!(bodies.complete(*number, LARGE));
    }
    let small = bodies.begin(at(1), "big");
    assert_eq!(granted(&mut bodies, at(1), small, 100), [numbers[0]]);
    let second = bodies.begin(at(1), "big");
    assert!(granted(&mut bodies, at(1), second, 100).is_empty());
    let large = bodies.begin(at(5000), "big");
    assert!(bodies.complete(small, 100) && bodies.complete(second, 100));
    assert_eq!(bodies.grow(at(5000), large, LARGE), BodyGrowth::Refused);
}

/// Guards against stalled bodies that hold the room for ever, and against bodies that go on being dropped first.
#[test]
fn stalled_bodies_go_first() {
    let mut bodies = Bodies::new(MAX);
    let numbers = crowd(&mut bodies, "big");
    let last = *numbers.last().expect("a body");
    for number in &numbers {
        if *number != last {
            assert!(bodies.progress(at(2000), *number));
        }
    }
    let large = bodies.begin(at(2000), "big");
    assert_eq!(granted(&mut bodies, at(2000), large, LARGE), [last]);
    assert!(!bodies.progress(at(2000), last), "it was dropped");
    assert!(!bodies.complete(last, LARGE), "it was dropped");
}

/// Guards against bodies of a size that drop each other in turn, so that none is ever complete.
#[test]
fn bodies_of_a_size_that_make_progress_do_not_drop_each_other() {
    let mut bodies = Bodies::new(MAX);
    crowd(&mut bodies, "big");
    let large = bodies.begin(at(1), "big");
    assert_eq!(bodies.grow(at(1), large, LARGE), BodyGrowth::Refused);
}

/// Guards against rules that allow larger bodies than the memory limit suggests: they were served before.
#[test]
fn a_body_larger_than_all_is_taken_alone() {
    let mut bodies = Bodies::new(MAX);
    let huge = bodies.begin(at(0), "big");
    assert!(granted(&mut bodies, at(0), huge, 3 * MAX).is_empty());
    bodies.end(huge);
    assert_eq!(bodies.used_bytes(), 0);
}

/// Guards against responses that are read slowly and leave no room for others.
#[test]
fn an_unread_response_gives_way_and_one_that_is_worked_on_does_not() {
    let mut bodies = Bodies::new(MAX);
    let mut numbers = Vec::new();
    for _ in 0..7 {
        let number = bodies.begin_response(at(0), "big");
        assert!(granted(&mut bodies, at(0), number, LARGE).is_empty());
        numbers.push(number);
    }
    let late = bodies.begin_response(at(5000), "big");
    assert_eq!(bodies.grow(at(5000), late, LARGE), BodyGrowth::Refused);
    bodies.respond(at(5000), numbers[2]);
    assert_eq!(bodies.grow(at(5999), late, LARGE), BodyGrowth::Refused);
    assert_eq!(granted(&mut bodies, at(6000), late, LARGE), [numbers[2]]);
    assert!(!bodies.progress(at(6000), numbers[2]));
}
