//! Finding the leader while processes are silent.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use clem_wire::LeaderView;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

fn view() -> LeaderView {
    LeaderView::new(vec![address(1), address(2), address(3)])
}

/// Found by a hunt: calls that failed together at a frozen leader moved the view past the new
/// one, and the next ones to the frozen one again; rules came seconds late.
#[test]
fn calls_that_fail_together_move_on_once() {
    let now = Instant::now();
    let mut view = view();
    view.note_silent(now, address(1));
    view.note_silent(now, address(1));
    view.note_silent(now, address(1));
    assert_eq!(view.target(), Some(address(2)));
}

#[test]
fn a_silent_process_is_not_asked_on_the_others_word() {
    let now = Instant::now();
    let mut view = view();
    view.note_silent(now, address(1));
    view.note_follows(now, address(2), Some(address(1)));
    assert_eq!(view.target(), Some(address(3)));
    let later = now + Duration::from_secs(5);
    view.note_follows(later, address(3), Some(address(1)));
    assert_eq!(view.target(), Some(address(1)));
}

#[test]
fn a_named_leader_is_asked_although_it_is_not_listed() {
    let now = Instant::now();
    let mut view = view();
    view.note_follows(now, address(1), Some(address(9)));
    assert_eq!(view.target(), Some(address(9)));
    view.note_silent(now, address(9));
    assert_eq!(view.target(), Some(address(1)));
}

#[test]
fn members_that_stay_are_asked_as_before() {
    let mut view = view();
    view.note_follows(Instant::now(), address(1), Some(address(2)));
    view.set_known(&[address(4), address(2)]);
    assert_eq!(view.target(), Some(address(2)));
    view.set_known(&[address(4)]);
    assert_eq!(view.target(), Some(address(4)));
    view.set_known(&[]);
    assert_eq!(view.target(), Some(address(4)));
}

/// Found by the rolling restart: a process that was just starting was left for as long as a frozen
/// one, also when it led again, and leases ran out.
#[test]
fn a_process_that_failed_at_once_is_asked_on_the_others_word() {
    let now = Instant::now();
    let mut view = view();
    view.note_failed(now, address(1));
    assert_eq!(view.target(), Some(address(2)));
    view.note_follows(now, address(2), Some(address(1)));
    assert_eq!(view.target(), Some(address(1)));
}
