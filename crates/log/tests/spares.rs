//! New members at any address join a cluster that lacks voters, or replace leaving and lost ones.

mod trio;

use std::time::Duration;

use clem_log::{InitialState, MemberId, Node, Settings};
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
    let mut seen = vec![voters(trio)];
    for _ in 0..steps {
        // Rejected while no voter is missing.
        let _ = trio.nodes[0].join(trio.now, MemberId(4), SPARE);
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
