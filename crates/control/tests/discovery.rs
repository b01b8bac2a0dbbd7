//! Which leader a process names that has none itself.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use clem_control::replica::discovery::{Discovery, NamedLeader};
use clem_log::Term;
use clem_types::Time;

const START: Time = Time::from_micros(1_000_000);
/// Longer than a leader that others named counts.
const LATER: Duration = Duration::from_secs(3);

fn leader(place: u8, term: u64) -> NamedLeader {
    NamedLeader {
        address: ([127, 0, 0, place], 7000).into(),
        term: Term(term),
    }
}

#[test]
fn of_several_leaders_the_latest_counts() {
    let mut discovery = Discovery::default();
    discovery.note(START, [leader(1, 2), leader(2, 3)]);
    assert_eq!(discovery.leader(START), Some(leader(2, 3)));
    discovery.note(START, [leader(1, 2)]);
    assert_eq!(discovery.leader(START), Some(leader(2, 3)));
    discovery.note(START, [leader(3, 4)]);
    assert_eq!(discovery.leader(START), Some(leader(3, 4)));
}

/// Callers would be sent to a leader that is gone.
#[test]
fn a_leader_that_nobody_names_any_more_is_forgotten() {
    let mut discovery = Discovery::default();
    discovery.note(START, [leader(1, 5)]);
    discovery.note(START + LATER, []);
    assert_eq!(discovery.leader(START + LATER), None);
    discovery.note(START + LATER, [leader(2, 4)]);
    assert_eq!(discovery.leader(START + LATER), Some(leader(2, 4)));
}
