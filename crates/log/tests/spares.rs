//! New members at any address join a cluster that lacks voters, or replace leaving and lost ones.

mod trio;

use std::time::Duration;

use clem_log::{Change, InitialState, MemberId, Node, Settings};
use clem_types::Time;
use trio::Trio;

const SPARE: &str = "127.0.0.1:7004";

/// Three voters, as many as desired, and a fourth node that is not a member.
fn with_spare() -> Trio {
    let settings = Settings {
        voters: 3,
        ..Settings::default()
    };
    let mut trio = Trio::with(settings);
    trio.deliver();
    trio.heartbeat();
    let spare = Node::new(Time::ZERO, InitialState::new(MemberId(4), 4), settings);
    trio.nodes.push(spare);
    trio.receiver = Some(3);
    trio
}

fn voters(trio: &Trio) -> Vec<u64> {
    trio.nodes[0].members().voters().map(|id| id.0).collect()
}

/// Advances the time while the spare asks to join; returns the successive sets of voters.
fn join(trio: &mut Trio, steps: usize) -> Vec<Vec<u64>> {
    join_at(trio, SPARE, steps)
}

fn join_at(trio: &mut Trio, address: &str, steps: usize) -> Vec<Vec<u64>> {
    let mut seen = vec![voters(trio)];
    for _ in 0..steps {
        // Rejected while no voter is missing.
        let _ = trio.nodes[0].join(trio.now, MemberId(4), address);
        trio.pass(1);
        if seen.last() != Some(&voters(trio)) {
            seen.push(voters(trio));
        }
    }
    seen
}

#[test]
fn a_spare_does_not_join_while_no_voter_is_missing() {
    let mut trio = with_spare();
    assert_eq!(join(&mut trio, 40), [[1, 2, 3]]);
}

/// When the leaving voter was removed first, losing another disk right after left one voter of two:
/// without a quorum, no accepted command could be read again.
#[test]
fn a_leaving_voter_is_removed_after_its_replacement_is_promoted() {
    let mut trio = with_spare();
    trio.nodes[0].set_leaving(&["127.0.0.1:7003".to_owned()]);
    let seen = join(&mut trio, 40);
    assert_eq!(seen, [vec![1, 2, 3], vec![1, 2, 3, 4], vec![1, 2, 4]]);
}

#[test]
fn a_lost_voter_is_replaced_by_a_spare_at_another_address() {
    let mut trio = with_spare();
    trio.lose(2);
    let seen = join(&mut trio, 60);
    assert_eq!(seen.last(), Some(&vec![1, 2, 4]));
    assert!(seen.iter().all(|voters| voters.len() >= 3), "{seen:?}");
}

/// A group that had removed a voter waited for its replacement to catch up, and could bear no lost disk
/// meanwhile.
#[test]
fn a_learner_that_lags_is_promoted_if_that_does_not_raise_the_quorum() {
    let mut trio = with_spare();
    // The spare never gets the snapshot that it needs.
    trio.receiver = None;
    let removed = trio.nodes[0].change(trio.now, &Change::Remove(MemberId(3)));
    assert!(removed.is_ok());
    trio.deliver();
    assert_eq!(join(&mut trio, 40), [vec![1, 2], vec![1, 2, 4]]);
    // Of three voters any two are a quorum, so that one more disk may be lost.
    trio.lose(1);
    trio.receiver = Some(3);
    trio.nodes[0].snapshot_sent(MemberId(4), None);
    trio.pass(40);
    assert!(trio.nodes[0].is_leader(), "{}", trio.nodes[0]);
    let written = trio.nodes[0].propose(trio.now, b"x"[..].into());
    let written = written.expect("it leads");
    trio.deliver();
    assert!(trio.nodes[0].commit() >= written);
}

/// With an odd number of voters a learner that lags would be needed for the larger quorum.
#[test]
fn a_learner_that_lags_is_not_promoted_if_that_raises_the_quorum() {
    let mut trio = with_spare();
    trio.receiver = None;
    trio.lose(2);
    assert_eq!(join(&mut trio, 60), [[1, 2, 3]]);
}

/// Between the removal and the promotion the group can bear no lost disk.
#[test]
fn a_new_disk_is_promoted_as_soon_as_the_lost_one_is_removed() {
    let mut trio = with_spare();
    trio.lose(2);
    let seen = join_at(&mut trio, "127.0.0.1:7003", 60);
    assert_eq!(seen, [vec![1, 2, 3], vec![1, 2, 4]]);
}

#[test]
fn a_leaving_leader_transfers_its_leadership() {
    let mut trio = with_spare();
    for node in &mut trio.nodes {
        node.set_leaving(&["127.0.0.1:7001".to_owned()]);
    }
    trio.now = trio.now + Duration::from_millis(100);
    trio.pass(30);
    assert!(!trio.nodes[0].is_leader());
    assert!(trio.nodes[1].is_leader() || trio.nodes[2].is_leader());
}

/// Passes leadership back and forth between the first two nodes every 1.5 s, while the spare asks to join.
fn join_while_leaders_change(trio: &mut Trio, turns: usize) -> Vec<u64> {
    for turn in 0..turns {
        let leader = turn % 2;
        for _ in 0..15 {
            let _ = trio.nodes[leader].join(trio.now, MemberId(4), SPARE);
            trio.pass(1);
        }
        let next = trio.nodes[1 - leader].id();
        let passed = trio.nodes[leader].transfer(trio.now, Some(next));
        assert!(passed.is_ok(), "{}", trio.nodes[leader]);
        trio.deliver();
    }
    voters(trio)
}

/// Each leader counted a member's silence from its own start, so that nothing was replaced while leaders
/// changed.
#[test]
fn a_lost_voter_is_replaced_though_no_leader_waits_for_it_long_enough() {
    let mut trio = with_spare();
    trio.lose(2);
    assert_eq!(join_while_leaders_change(&mut trio, 4), [1, 2, 4]);
}

#[test]
fn a_voter_that_is_back_is_not_replaced_for_what_former_leaders_waited() {
    let mut trio = with_spare();
    trio.lose(2);
    let seen = join(&mut trio, 15);
    assert_eq!(seen, [[1, 2, 3]]);
    trio.find();
    let passed = trio.nodes[0].transfer(trio.now, Some(MemberId(2)));
    assert!(passed.is_ok());
    trio.deliver();
    for _ in 0..40 {
        let _ = trio.nodes[1].join(trio.now, MemberId(4), SPARE);
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 3]);
}

/// A disk that was lost was waited for, though the process at its address had another one.
#[test]
fn a_member_with_a_new_disk_at_its_address_is_replaced_at_once() {
    let mut trio = with_spare();
    trio.lose(2);
    let seen = join_at(&mut trio, "127.0.0.1:7003", 12);
    assert_eq!(seen.last(), Some(&vec![1, 2, 4]), "{seen:?}");
}

/// A message of a member that runs proves that its disk is there.
#[test]
fn a_member_that_replies_is_not_replaced_by_another_one_at_its_address() {
    let mut trio = with_spare();
    let seen = join_at(&mut trio, "127.0.0.1:7003", 30);
    assert_eq!(seen, [[1, 2, 3]]);
}

/// A spare began to copy the state only when a voter counted as lost.
#[test]
fn a_spare_catches_up_while_a_voter_is_not_lost_yet() {
    let mut trio = with_spare();
    trio.lose(2);
    let seen = join(&mut trio, 16);
    assert_eq!(seen, [[1, 2, 3]]);
    assert_eq!(trio.nodes[0].learners(trio.now)[0].lag, 0);
}

/// A learner that was lost with the machine of the voter that it should replace kept spares out for ever.
#[test]
fn a_spare_replaces_a_voter_whose_new_disk_is_lost_as_well() {
    let mut trio = with_spare();
    trio.receiver = None;
    trio.lose(2);
    join_at(&mut trio, "127.0.0.1:7003", 8);
    assert!(trio.nodes[0].members().get(MemberId(4)).is_some());
    trio.nodes.pop();
    let settings = Settings {
        voters: 3,
        ..Settings::default()
    };
    let spare = Node::new(Time::ZERO, InitialState::new(MemberId(5), 5), settings);
    trio.nodes.push(spare);
    trio.receiver = Some(3);
    for _ in 0..60 {
        let _ = trio.nodes[0].join(trio.now, MemberId(5), "127.0.0.1:7005");
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 5]);
}

/// A spare that was let in for a voter that came back got the whole log for ever.
#[test]
fn a_spare_that_is_no_longer_needed_is_removed() {
    let mut trio = with_spare();
    trio.lose(2);
    join(&mut trio, 16);
    trio.find();
    trio.pass(20);
    assert_eq!(trio.nodes[0].learners(trio.now).len(), 1);
    join(&mut trio, 120);
    assert!(trio.nodes[0].learners(trio.now).is_empty());
    assert_eq!(voters(&trio), [1, 2, 3]);
}

/// Of two lost voters the one with the lower id was replaced, though only the other one was gone for good.
#[test]
fn the_voter_that_has_been_silent_for_longest_is_replaced_first() {
    let settings = Settings {
        voters: 5,
        ..Settings::default()
    };
    let mut trio = Trio::with(settings);
    trio.deliver();
    trio.heartbeat();
    let ask = |trio: &mut Trio, id: u64, steps: usize| {
        for _ in 0..steps {
            let address = format!("127.0.0.1:700{id}");
            let _ = trio.nodes[0].join(trio.now, MemberId(id), &address);
            trio.pass(1);
        }
    };
    let start = |trio: &mut Trio, id: u64| {
        let spare = Node::new(Time::ZERO, InitialState::new(MemberId(id), id), settings);
        trio.nodes.push(spare);
        trio.receiver = Some(trio.nodes.len() - 1);
    };
    start(&mut trio, 4);
    ask(&mut trio, 4, 20);
    start(&mut trio, 5);
    ask(&mut trio, 5, 20);
    assert_eq!(voters(&trio), [1, 2, 3, 4, 5]);
    trio.nodes.remove(2);
    trio.pass(10);
    trio.lose(1);
    trio.pass(25);
    start(&mut trio, 6);
    ask(&mut trio, 6, 20);
    assert_eq!(voters(&trio), [1, 2, 4, 5, 6]);
}
