//! Leadership transfer before a planned stop.

mod trio;

use std::time::Duration;

use clem_log::{Body, HardState, InitialState, MemberId, Message, Node, NodeError, Settings, Term};
use clem_types::Time;
use trio::Trio;

/// The maximum duration of a transfer in steps of 100 ms; an election timeout is at least ten.
const TRANSFER_STEPS: usize = 2;
/// Several tries to hand over, in steps of 100 ms.
const LEAVING_STEPS: usize = 40;

#[test]
fn a_lost_campaign_message_is_repeated() {
    let mut trio = Trio::elected();
    trio.nodes[0]
        .transfer(trio.now, Some(MemberId(2)))
        .expect("it is the leader");
    let lost = trio.nodes[0].ready(trio.now).messages;
    assert!(lost.iter().any(|message| message.body == Body::Campaign));
    trio.pass(TRANSFER_STEPS);
    assert!(trio.nodes[1].is_leader(), "without waiting for a timeout");
}

#[test]
fn a_restarted_successor_starts_an_election() {
    let now = Time::from_millis(1);
    let started = InitialState {
        hard: HardState {
            term: Term(5),
            vote: None,
        },
        ..trio::start(2)
    };
    let mut node = Node::new(Time::ZERO, started, Settings::default());
    node.step(
        now,
        Message {
            from: MemberId(1),
            to: MemberId(2),
            term: Term(5),
            body: Body::Campaign,
        },
    );
    let write = node.ready(now).write.expect("a new term and its own vote");
    assert_eq!(write.hard.map(|hard| hard.term), Some(Term(6)));
}

#[test]
fn the_campaign_message_is_not_repeated_in_a_newer_term() {
    let mut trio = Trio::elected();
    trio.nodes[0]
        .transfer(trio.now, Some(MemberId(2)))
        .expect("it is the leader");
    trio.deliver();
    trio.now = trio.now + Duration::from_millis(300);
    trio.nodes[0].tick(trio.now);
    let messages = trio.nodes[0].ready(trio.now).messages;
    assert!(
        messages
            .iter()
            .all(|message| message.body != Body::Campaign)
    );
}

#[test]
fn of_equally_advanced_successors_a_reachable_one_is_chosen() {
    let mut trio = Trio::elected();
    trio.lose(2);
    trio.heartbeat();
    trio.nodes[0]
        .transfer(trio.now, None)
        .expect("it is the leader");
    trio.deliver();
    assert!(trio.nodes[1].is_leader(), "without waiting for a timeout");
}

/// A follower that was asked to transfer leadership to itself answered `ChangeRefused` instead of
/// `NotLeader`, so the caller never asked the leader.
#[test]
fn a_follower_rejects_a_transfer_to_itself_as_not_leader() {
    let mut trio = Trio::elected();
    let asked = trio.nodes[1].transfer(trio.now, Some(MemberId(2)));
    let leader = Some(MemberId(1));
    assert_eq!(asked, Err(NodeError::NotLeader { leader }));
}

/// A leaving leader began its transfer anew at each tick, and rejected all proposals for as long as no
/// successor had caught up.
#[test]
fn a_leaving_leader_takes_proposals_between_two_tries() {
    let mut trio = Trio::elected();
    // No member has the whole log from now on.
    trio.sync_entries = false;
    let proposed = trio.nodes[0].propose(trio.now, b"x"[..].into());
    proposed.expect("it leads");
    trio.nodes[0].set_leaving(&["127.0.0.1:7001".to_owned()]);
    let mut taken = 0;
    for _ in 0..LEAVING_STEPS {
        trio.pass(1);
        let proposed = trio.nodes[0].propose(trio.now, b"x"[..].into());
        taken += usize::from(proposed.is_ok());
    }
    assert!(trio.nodes[0].is_leader());
    assert!(
        taken > LEAVING_STEPS / 4,
        "{taken} of {LEAVING_STEPS} taken"
    );
    assert!(taken < LEAVING_STEPS, "it never tried to hand over");
}
