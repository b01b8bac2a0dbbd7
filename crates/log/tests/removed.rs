//! Members that were removed while they were away, and learn it from others.

mod trio;

use std::time::Duration;

use clem_log::{
    Append, Body, Change, LogIndex, LogPosition, MemberId, MemberKind, Members, Message, Node,
    Settings, Term,
};
use clem_types::Time;

const OWN: MemberId = MemberId(3);
/// Longer than any election timeout.
const LATER: Duration = Duration::from_secs(3);

fn at(index: u64) -> LogPosition {
    LogPosition {
        term: Term(1),
        index: LogIndex(index),
    }
}

fn start() -> Node {
    Node::new(Time::ZERO, trio::start(OWN.0), Settings::default())
}

/// The members without this one.
fn without() -> Members {
    trio::base().members.with(&Change::Remove(OWN))
}

/// Whether the member asks for votes at `now`.
fn campaigns(node: &mut Node, now: Time) -> bool {
    node.tick(now);
    let messages = node.ready(now).messages;
    let mut bodies = messages.iter().map(|message| &message.body);
    bodies.any(|body| matches!(body, Body::PreVote(_) | Body::Vote(_)))
}

/// It asked for votes to the end of its life, and told its callers that its group has no leader.
#[test]
fn a_member_that_was_removed_while_away_asks_for_no_votes() {
    let mut node = start();
    assert_eq!(node.kind(), Some(MemberKind::Voter));
    assert!(node.note_membership(at(9), &without()));
    assert!(!node.note_membership(at(9), &without()), "told again");
    assert!(!campaigns(&mut node, Time::ZERO + LATER));
    assert_eq!(node.kind(), None);
    assert!(node.wants_join());
    let status = node.status(Time::ZERO + LATER);
    assert_eq!((status.own, status.leaderless), (None, None));
}

#[test]
fn a_member_in_an_election_stops_it_once_it_knows_that_it_was_removed() {
    let mut node = start();
    let now = Time::ZERO + LATER;
    assert!(campaigns(&mut node, now));
    assert!(node.note_membership(at(9), &without()));
    for from in [1, 2] {
        node.step(
            now,
            Message {
                from: MemberId(from),
                to: OWN,
                term: Term(1),
                body: Body::PreVoteReply { granted: true },
            },
        );
    }
    assert!(!campaigns(&mut node, now + LATER));
    assert_eq!(node.term(), Term(0));
}

/// A member that lags may know only what was in force before this one was added.
#[test]
fn a_membership_that_is_older_than_its_log_removes_no_member() {
    let mut node = start();
    let base = LogPosition {
        index: LogIndex(1),
        ..LogPosition::default()
    };
    assert_eq!(node.members_at(), base);
    assert!(!node.note_membership(base, &without()));
    assert!(!node.note_membership(at(9), &trio::base().members));
    assert_eq!(node.kind(), Some(MemberKind::Voter));
    assert!(campaigns(&mut node, Time::ZERO + LATER));
}

#[test]
fn a_removed_member_that_hears_from_a_leader_is_one_again() {
    let mut node = start();
    assert!(node.note_membership(at(9), &without()));
    let append = Append {
        prev: LogIndex(1),
        prev_term: Term(0),
        entries: Vec::new(),
        commit: LogIndex(1),
        sent: 0,
        silent: Vec::new(),
        departing: Vec::new(),
    };
    node.step(
        Time::ZERO,
        Message {
            from: MemberId(1),
            to: OWN,
            term: Term(2),
            body: Body::Append(append),
        },
    );
    assert_eq!(node.kind(), Some(MemberKind::Voter));
}

/// One that was added again would count as removed until a leader reaches it.
#[test]
fn a_removed_member_that_is_told_of_a_later_membership_with_it_is_one_again() {
    let mut node = start();
    assert!(node.note_membership(at(9), &without()));
    assert!(!node.note_membership(at(8), &trio::base().members));
    assert_eq!(node.kind(), None);
    assert!(!node.note_membership(at(12), &trio::base().members));
    assert_eq!(node.kind(), Some(MemberKind::Voter));
}

/// A disk that has got no entry yet would remove everybody.
#[test]
fn a_membership_without_voters_removes_no_member() {
    let mut node = start();
    assert!(!node.note_membership(at(9), &Members::default()));
    assert_eq!(node.kind(), Some(MemberKind::Voter));
}

/// Those who ask could take a removal for committed that is not.
#[test]
fn only_committed_members_are_told() {
    let mut trio = trio::Trio::elected();
    let all = trio.nodes[0].members().clone();
    trio.lose(1);
    trio.deliver();
    trio.sync_entries = false;
    let changed = trio.nodes[0].change(trio.now, &Change::Remove(OWN));
    assert!(changed.is_ok());
    let (at, members) = trio.nodes[0].committed_members();
    assert!(at < trio.nodes[0].members_at());
    assert_eq!(*members, all);
}
