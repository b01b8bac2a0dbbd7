//! Leadership that is handed over before a planned stop.

mod trio;

use std::time::Duration;

use clem_log::{Body, HardState, MemberId, Message, Node, Refused, Settings, Start, Term};
use clem_types::Time;
use trio::Trio;

/// Steps of 100 ms that a hand-over may take; an election takes at least ten.
const SOON: usize = 2;

#[test]
fn a_lost_order_to_campaign_is_sent_again() {
    let mut trio = Trio::elected();
    trio.nodes[0]
        .transfer(trio.now, Some(MemberId(2)))
        .expect("it leads");
    let lost = trio.nodes[0].ready(trio.now).messages;
    assert!(lost.iter().any(|message| message.body == Body::Campaign));
    trio.pass(SOON);
    assert!(trio.nodes[1].is_leader(), "without waiting for a timeout");
}

#[test]
fn a_successor_that_has_just_restarted_campaigns() {
    let now = Time::from_millis(1);
    let started = Start {
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
fn nobody_is_told_again_once_a_newer_term_is_known() {
    let mut trio = Trio::elected();
    trio.nodes[0]
        .transfer(trio.now, Some(MemberId(2)))
        .expect("it leads");
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
fn of_equal_successors_one_that_still_answers_is_taken() {
    let mut trio = Trio::elected();
    trio.lose(2);
    trio.beat();
    trio.nodes[0].transfer(trio.now, None).expect("it leads");
    trio.deliver();
    assert!(trio.nodes[1].is_leader(), "without waiting for a timeout");
}

/// Seen as a red test of copies: asked to lead itself, a member that did not lead refused for good,
/// and the leader was never asked.
#[test]
fn a_member_that_does_not_lead_says_so_when_asked_to_lead_itself() {
    let mut trio = Trio::elected();
    let asked = trio.nodes[1].transfer(trio.now, Some(MemberId(2)));
    let leader = Some(MemberId(1));
    assert_eq!(asked, Err(Refused::NotLeader { leader }));
}
