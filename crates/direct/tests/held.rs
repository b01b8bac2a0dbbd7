//! Which rules a process without a leader takes from the hub's members.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::net::SocketAddr;

use clem_direct::newest_held;
use clem_types::Version;
use clem_wire::fleet::{Held, RulesDocument};

fn address(place: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, place], 7000))
}

/// What the member at `place` holds, which knows these voters by the entry `changed`.
fn held(place: u8, version: u64, changed: u64, voters: &[u8]) -> (SocketAddr, Held) {
    let held = Held {
        rules: RulesDocument {
            version: Version(version),
            ..RulesDocument::default()
        },
        voters: voters.iter().map(|place| address(*place)).collect(),
        changed: (1, changed),
        ..Held::default()
    };
    (address(place), held)
}

fn version(held: &[(SocketAddr, Held)]) -> Option<u64> {
    newest_held(held).map(|held| held.rules.version.0)
}

#[test]
fn the_newest_rules_of_a_majority_are_taken() {
    let voters = [1, 2, 3];
    let held = [held(1, 4, 7, &voters), held(2, 5, 7, &voters)];
    assert_eq!(version(&held), Some(5));
    assert_eq!(version(&held[1..]), None);
}

/// Processes that know only removed members put their former rules in force again.
#[test]
fn rules_of_removed_members_are_not_taken() {
    // 4, 5 and 6 have taken the places of 1, 2 and 3, in this order.
    let removed = [
        held(1, 3, 0, &[1, 2, 3]),
        held(2, 3, 8, &[4, 2, 3]),
        held(3, 3, 12, &[4, 5, 3]),
    ];
    assert_eq!(version(&removed), None);
    let mut all = removed.to_vec();
    all.push(held(4, 9, 16, &[4, 5, 6]));
    assert_eq!(version(&all), None, "one of three voters");
    all.push(held(5, 8, 16, &[4, 5, 6]));
    assert_eq!(version(&all), Some(9));
}

/// Members that lost their disks would let the rules of a minority pass for those of a majority.
#[test]
fn voters_without_rules_do_not_count() {
    let voters = [1, 2, 3];
    let held = [held(1, 4, 7, &voters), held(2, 0, 7, &voters)];
    assert_eq!(version(&held), None);
}

/// A former leader knows a later entry than the others, which was never committed.
#[test]
fn a_change_of_an_earlier_term_is_older() {
    let mut former = held(1, 3, 30, &[1, 2, 3]);
    former.1.changed = (1, 30);
    let mut later = held(4, 9, 0, &[4, 5, 6]);
    later.1.changed = (2, 16);
    let all = [former, held(2, 3, 7, &[1, 2, 3]), later];
    assert_eq!(version(&all), None);
}

/// A member of an earlier release doesn't tell the voters.
#[test]
fn a_member_that_tells_no_voters_does_not_count() {
    let voters = [1, 2, 3];
    let held = [
        held(1, 4, 0, &voters),
        held(2, 5, 0, &voters),
        held(3, 6, 0, &[]),
    ];
    assert_eq!(version(&held), Some(5));
    assert_eq!(version(&held[1..]), None);
}

#[test]
fn no_rules_are_taken_from_nobody() {
    assert_eq!(version(&[]), None);
}
