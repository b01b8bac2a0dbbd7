//! Tests of tracking the leader while processes don't reply.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use clem_wire::LeaderTracker;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

fn tracker() -> LeaderTracker {
    LeaderTracker::new(vec![address(1), address(2), address(3)])
}

/// Regression test: each of several calls that timed out together at a frozen leader moved on by
/// one process, past the new leader and back to the frozen one, so that rules arrived seconds late.
#[test]
fn concurrent_timeouts_move_on_once() {
    let now = Instant::now();
    let mut tracker = tracker();
    tracker.note_timeout(now, now, address(1));
    tracker.note_timeout(now, now, address(1));
    tracker.note_timeout(now, now, address(1));
    assert_eq!(tracker.presumed(), Some(address(2)));
}

#[test]
fn a_process_that_timed_out_is_avoided_even_if_named_as_leader() {
    let now = Instant::now();
    let mut tracker = tracker();
    tracker.note_timeout(now, now, address(1));
    tracker.note_follower(now, address(2), Some(address(1)));
    assert_eq!(tracker.presumed(), Some(address(3)));
    let later = now + Duration::from_secs(5);
    tracker.note_follower(later, address(3), Some(address(1)));
    assert_eq!(tracker.presumed(), Some(address(1)));
}

#[test]
fn a_named_leader_is_presumed_even_if_it_is_not_listed() {
    let now = Instant::now();
    let mut tracker = tracker();
    tracker.note_follower(now, address(1), Some(address(9)));
    assert_eq!(tracker.presumed(), Some(address(9)));
    tracker.note_timeout(now, now, address(9));
    assert_eq!(tracker.presumed(), Some(address(1)));
}

#[test]
fn the_presumed_leader_stays_while_it_is_a_member() {
    let mut tracker = tracker();
    tracker.note_follower(Instant::now(), address(1), Some(address(2)));
    tracker.set_members(&[address(4), address(2)]);
    assert_eq!(tracker.presumed(), Some(address(2)));
    tracker.set_members(&[address(4)]);
    assert_eq!(tracker.presumed(), Some(address(4)));
    tracker.set_members(&[]);
    assert_eq!(tracker.presumed(), Some(address(4)));
}

/// Regression test from the rolling restart: a process that was just starting was avoided for as
/// long as a frozen one, even when it led again, and leases expired.
#[test]
fn a_process_that_failed_quickly_is_not_avoided() {
    let now = Instant::now();
    let mut tracker = tracker();
    tracker.note_broken_connection(now, address(1));
    assert_eq!(tracker.presumed(), Some(address(2)));
    tracker.note_follower(now, address(2), Some(address(1)));
    assert_eq!(tracker.presumed(), Some(address(1)));
}

#[test]
fn a_leader_that_others_still_name_after_an_election_would_have_ended_is_asked_again() {
    let sent = Instant::now();
    let mut tracker = tracker().with_election_timeout(Duration::from_secs(1));
    let late = sent + Duration::from_millis(1100);
    tracker.note_timeout(late, sent, address(1));
    tracker.note_follower(late, address(2), Some(address(1)));
    assert_eq!(tracker.presumed(), Some(address(1)));
}

#[test]
fn an_elected_leader_is_presumed_once() {
    let now = Instant::now();
    let mut tracker = tracker();
    tracker.note_timeout(now, now, address(3));
    tracker.note_elected(Some(address(3)));
    assert_eq!(tracker.presumed(), Some(address(3)));
    tracker.note_timeout(now, now, address(3));
    tracker.note_elected(Some(address(3)));
    assert_eq!(tracker.presumed(), Some(address(1)));
    tracker.note_elected(None);
    assert_eq!(tracker.presumed(), Some(address(1)));
    tracker.note_elected(Some(address(3)));
    assert_eq!(tracker.presumed(), Some(address(3)));
}
