//! Leaders whose process stands still for a while.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod trio;

use std::time::Duration;

use bytes::Bytes;
use clem_log::Settings;
use trio::Trio;

/// Longer than an election timeout, and than a silent member takes to count as lost.
const PAUSE: Duration = Duration::from_secs(3);

/// Advances the time without a tick of the leader.
fn pause(trio: &mut Trio) {
    trio.now = trio.now + PAUSE;
}

#[test]
fn a_leader_that_stood_still_commits_at_once_when_nobody_else_was_elected() {
    let mut trio = Trio::elected();
    pause(&mut trio);
    trio.nodes[0].tick(trio.now);
    assert!(
        !trio.nodes[0].is_active_leader(trio.now),
        "it has not asked"
    );
    trio.deliver();
    assert!(trio.nodes[0].is_leader());
    let index = trio.nodes[0].propose(trio.now, Bytes::from_static(b"x"));
    trio.deliver();
    assert!(trio.nodes[0].commit() >= index.unwrap());
}

#[test]
fn a_leader_that_stood_still_steps_down_when_nobody_replies() {
    let mut trio = Trio::elected();
    pause(&mut trio);
    let heartbeat = Settings::default().heartbeat;
    for _ in 0..4 {
        trio.nodes[0].tick(trio.now);
        trio.now = trio.now + heartbeat;
    }
    assert!(!trio.nodes[0].is_leader());
}

#[test]
fn a_leader_that_stands_still_again_and_again_steps_down_when_nobody_replies() {
    let mut trio = Trio::elected();
    for _ in 0..2 {
        pause(&mut trio);
        trio.nodes[0].tick(trio.now);
    }
    assert!(!trio.nodes[0].is_leader());
}

#[test]
fn no_member_counts_as_lost_by_a_pause_of_its_leader() {
    let settings = Settings {
        voters: 3,
        ..Settings::default()
    };
    let mut trio = Trio::with(settings);
    trio.deliver();
    trio.heartbeat();
    pause(&mut trio);
    trio.nodes[0].tick(trio.now);
    assert!(trio.nodes[0].is_leader());
    assert_eq!(trio.nodes[0].status(trio.now).vacancy.map(|v| v.hold), None);
}

#[test]
fn a_member_that_replied_last_before_a_pause_ended_is_lost_as_soon_as_others() {
    let settings = Settings {
        voters: 3,
        ..Settings::default()
    };
    let mut trio = Trio::with(settings);
    trio.deliver();
    trio.heartbeat();
    pause(&mut trio);
    // A reply is handled before the timers run.
    trio.nodes[0].read(trio.now, clem_log::ReadId(1)).unwrap();
    trio.deliver();
    trio.nodes[0].tick(trio.now);
    trio.lose(2);
    let lost_after = settings.lost_after.as_millis() / 100;
    trio.pass(usize::try_from(lost_after).unwrap() + 1);
    let vacancy = trio.nodes[0].status(trio.now).vacancy.unwrap();
    assert_eq!(vacancy.hold, clem_log::Hold::Alone);
}
