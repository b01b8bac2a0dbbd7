//! Single steps of a node: which messages it may send, and when.

mod trio;

use std::time::Duration;

use clem_log::{
    Append, Ballot, Body, Change, Entry, HardState, InitialState, LogIndex, MemberId, Message,
    Node, NodeError, Payload, ReadId, Settings, SnapshotMetadata, Term,
};
use clem_types::Time;
use trio::{Trio, base, start};

/// Longer than the maximum election timeout.
const LONG: Duration = Duration::from_secs(2);

fn vote(from: u64, to: u64, term: u64, transfer: bool) -> Message {
    let ballot = Ballot {
        index: LogIndex(9),
        term: Term(9),
        transfer,
    };
    Message {
        from: MemberId(from),
        to: MemberId(to),
        term: Term(term),
        body: Body::Vote(ballot),
    }
}

fn granted(messages: &[Message]) -> bool {
    messages
        .iter()
        .any(|m| m.body == Body::VoteReply { granted: true })
}

#[test]
fn a_vote_is_granted_only_once_it_is_synced() {
    let mut node = Node::new(Time::ZERO, start(1), Settings::default());
    let now = Time::ZERO + LONG;
    node.step(now, vote(2, 1, 5, false));
    let ready = node.ready(now);
    assert!(ready.messages.is_empty());
    let write = ready.write.expect("term and vote");
    let hard = write.hard.expect("term and vote");
    assert_eq!((hard.term, hard.vote), (Term(5), Some(MemberId(2))));
    node.synced(now, write.number);
    assert!(granted(&node.ready(now).messages));
}

#[test]
fn a_vote_survives_a_restart() {
    let hard = HardState {
        term: Term(5),
        vote: Some(MemberId(2)),
    };
    let start = InitialState { hard, ..start(1) };
    let mut node = Node::new(Time::ZERO, start, Settings::default());
    let now = Time::ZERO + LONG;
    node.step(now, vote(3, 1, 5, true));
    assert!(!granted(&node.ready(now).messages));
    node.step(now, vote(2, 1, 5, true));
    assert!(granted(&node.ready(now).messages));
}

#[test]
fn a_restarted_node_does_not_vote_while_a_lease_may_run() {
    let started = Time::from_millis(10_000);
    let mut node = Node::new(started, start(1), Settings::default());
    let now = started + Duration::from_millis(900);
    node.step(now, vote(2, 1, 5, false));
    assert!(node.ready(now).messages.is_empty());
    assert_eq!(node.term(), Term(0));
}

#[test]
fn an_isolated_or_removed_member_does_not_depose_the_leader() {
    let mut trio = Trio::elected();
    let term = trio.nodes[0].term();
    let now = trio.now + Duration::from_millis(100);
    for message in [vote(3, 2, 50, false), vote(3, 1, 50, false)] {
        let Body::Vote(ballot) = message.body else {
            panic!("a vote");
        };
        let asked = Message {
            body: Body::PreVote(ballot),
            ..message.clone()
        };
        let to = message.to.0 as usize - 1;
        trio.nodes[to].step(now, asked);
        trio.nodes[to].step(now, message);
        let ready = trio.nodes[to].ready(now);
        assert!(ready.write.is_none(), "neither term nor vote may change");
        let refused = |m: &Message| m.body == Body::PreVoteReply { granted: false };
        assert!(ready.messages.iter().all(refused));
    }
    trio.deliver();
    assert!(trio.nodes[0].is_leader());
    assert_eq!(trio.nodes[1].term(), term);
}

#[test]
fn an_isolated_node_never_raises_its_term() {
    let mut trio = Trio::elected();
    let term = trio.nodes[0].term();
    for _ in 0..100 {
        trio.now = trio.now + Duration::from_millis(200);
        trio.nodes[2].tick(trio.now);
        let _ = trio.nodes[2].ready(trio.now);
    }
    assert_eq!(trio.nodes[2].term(), term);
}

#[test]
fn a_new_leader_has_no_lease_before_it_has_committed() {
    let trio = Trio::elected();
    assert!(trio.nodes[0].holds_lease(trio.now));
    let mut trio = Trio::campaigning();
    trio.sync_entries = false;
    trio.deliver();
    assert!(trio.nodes[0].is_leader());
    trio.heartbeat();
    assert!(!trio.nodes[0].holds_lease(trio.now));
    assert_eq!(trio.nodes[0].read(trio.now, ReadId(1)), Ok(()));
    assert!(trio.nodes[0].ready(trio.now).reads.is_empty());
}

#[test]
fn a_lease_expires() {
    let mut trio = Trio::elected();
    let asked = trio.now;
    assert!(trio.nodes[0].holds_lease(asked + Duration::from_millis(790)));
    assert!(!trio.nodes[0].holds_lease(asked + Duration::from_millis(801)));
    for _ in 0..11 {
        trio.now = trio.now + Duration::from_millis(100);
        trio.nodes[0].tick(trio.now);
    }
    assert!(
        !trio.nodes[0].is_leader(),
        "a leader without a quorum steps down"
    );
}

#[test]
fn a_read_without_a_lease_needs_a_quorum() {
    let mut trio = Trio::elected();
    trio.now = trio.now + Duration::from_millis(900);
    assert_eq!(trio.nodes[0].read(trio.now, ReadId(1)), Ok(()));
    let ready = trio.nodes[0].ready(trio.now);
    assert!(ready.reads.is_empty());
    assert_eq!(ready.messages.len(), 2, "both others are asked");
    for message in ready.messages {
        let to = message.to.0 as usize - 1;
        trio.nodes[to].step(trio.now, message);
    }
    trio.deliver();
    assert_eq!(trio.reads, [ReadId(1)]);
}

/// An entry of an older term may still be replaced although a quorum has it (Raft, section 5.4.2),
/// so the number of copies alone doesn't commit it.
#[test]
fn entries_of_an_older_term_are_not_committed_by_counting() {
    let mut trio = Trio::elected();
    let old = Entry {
        index: LogIndex(3),
        term: Term(1),
        payload: Payload::Data(b"old"[..].into()),
    };
    // All nodes have the entry. Node 0 becomes the leader of a later term, and its entry of that
    // term has not reached any other node.
    for node in 0..3 {
        let id = node as u64 + 1;
        let noop = Entry {
            index: LogIndex(2),
            term: Term(1),
            payload: Payload::Noop,
        };
        let start = InitialState {
            hard: HardState {
                term: Term(1),
                vote: Some(MemberId(1)),
            },
            entries: vec![noop, old.clone()],
            ..start(id)
        };
        trio.nodes[node] = Node::new(trio.now, start, Settings::default());
    }
    trio.campaign();
    trio.sync_entries = false;
    trio.deliver();
    trio.heartbeat();
    assert!(trio.nodes[0].is_leader());
    assert_eq!(trio.nodes[0].last(), LogIndex(4));
    assert_eq!(trio.nodes[0].commit(), LogIndex(1));
}

#[test]
fn a_slow_sync_does_not_delay_heartbeats() {
    let mut trio = Trio::elected();
    let leader = trio.nodes[0].id();
    trio.sync_entries = false;
    let proposed = trio.nodes[0].propose(trio.now, b"x"[..].into());
    assert!(proposed.is_ok());
    for _ in 0..50 {
        trio.now = trio.now + Duration::from_millis(100);
        for node in &mut trio.nodes {
            node.tick(trio.now);
        }
        trio.deliver();
        assert!(trio.nodes[0].holds_lease(trio.now));
        assert_eq!(trio.nodes[2].leader(), Some(leader));
    }
}

#[test]
fn entries_are_acknowledged_only_once_they_are_synced() {
    let mut node = Node::new(Time::ZERO, start(2), Settings::default());
    let entry = Entry {
        index: LogIndex(2),
        term: Term(1),
        payload: Payload::Noop,
    };
    let append = Append {
        prev: LogIndex(1),
        prev_term: Term(0),
        entries: vec![entry],
        commit: LogIndex(2),
        sent: 1,
        silent: Vec::new(),
        departing: Vec::new(),
    };
    let now = Time::from_millis(10);
    node.step(
        now,
        Message {
            from: MemberId(1),
            to: MemberId(2),
            term: Term(1),
            body: Body::Append(append),
        },
    );
    let ready = node.ready(now);
    assert!(ready.messages.is_empty(), "the term isn't synced either");
    assert!(
        ready.committed.is_empty(),
        "entries may be applied only once they are synced"
    );
    node.synced(now, ready.write.expect("an entry").number);
    let ready = node.ready(now);
    let last = ready.messages.last().expect("an answer");
    assert!(matches!(last.body, Body::Appended { matched, .. } if matched == LogIndex(2)));
    assert_eq!(ready.committed.len(), 1);
}

#[test]
fn a_late_sync_of_a_replaced_entry_is_ignored() {
    let mut node = Node::new(Time::ZERO, start(2), Settings::default());
    let now = Time::from_millis(10);
    let append = |from, term| {
        let entry = Entry {
            index: LogIndex(2),
            term: Term(term),
            payload: Payload::Noop,
        };
        Message {
            from: MemberId(from),
            to: MemberId(2),
            term: Term(term),
            body: Body::Append(Append {
                prev: LogIndex(1),
                prev_term: Term(0),
                entries: vec![entry],
                commit: LogIndex(1),
                sent: 1,
                silent: Vec::new(),
                departing: Vec::new(),
            }),
        }
    };
    node.step(now, append(1, 1));
    let first = node.ready(now).write.expect("an entry").number;
    // The write of the new term comes before the entry that replaces the first one.
    node.step(now, vote(3, 2, 2, true));
    let term = node.ready(now).write.expect("a term").number;
    node.step(now, append(3, 2));
    let second = node.ready(now).write.expect("another entry").number;
    let matched = |node: &mut Node, number| {
        node.synced(now, number);
        let messages = node.ready(now).messages;
        messages.iter().rev().find_map(|m| match m.body {
            Body::Appended { matched, .. } => Some(matched),
            _ => None,
        })
    };
    assert!(matched(&mut node, first) <= Some(LogIndex(1)));
    assert!(matched(&mut node, term) <= Some(LogIndex(1)));
    assert_eq!(matched(&mut node, second), Some(LogIndex(2)));
}

#[test]
fn a_snapshot_never_replaces_newer_entries() {
    let mut trio = Trio::elected();
    for _ in 0..5 {
        trio.nodes[0]
            .propose(trio.now, b"x"[..].into())
            .expect("it is the leader");
    }
    trio.deliver();
    trio.heartbeat();
    let commit = trio.nodes[1].commit();
    assert!(commit >= LogIndex(7));
    let older = SnapshotMetadata {
        index: LogIndex(4),
        term: Term(1),
        ..base()
    };
    assert!(!trio.nodes[1].install(trio.now, older));
    assert_eq!(trio.nodes[1].commit(), commit);
}

/// A late snapshot of a former leader made a member forget an entry that counted as committed by its word.
#[test]
fn a_snapshot_removes_no_entry_that_a_member_has_acknowledged() {
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Noop,
    };
    let start = InitialState {
        hard: HardState {
            term: Term(1),
            vote: None,
        },
        entries: vec![entry(2), entry(3), entry(4)],
        ..start(1)
    };
    let mut node = Node::new(Time::ZERO, start, Settings::default());
    let offered = SnapshotMetadata {
        index: LogIndex(3),
        term: Term(1),
        ..base()
    };
    assert!(!node.install(Time::ZERO, offered));
    assert_eq!(node.last(), LogIndex(4));
    assert_eq!(node.commit(), LogIndex(3));
    let contradicting = SnapshotMetadata {
        index: LogIndex(4),
        term: Term(2),
        ..base()
    };
    assert!(node.install(Time::ZERO, contradicting));
    assert_eq!(node.last(), LogIndex(4));
}

#[test]
fn a_log_that_contradicts_the_snapshot_needs_a_reset() {
    let entry = |index, term| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Noop,
    };
    let copied = SnapshotMetadata {
        index: LogIndex(3),
        term: Term(2),
        ..base()
    };
    let found = |entries| InitialState {
        entries,
        applied: LogIndex(3),
        ..start(1)
    };
    let torn = found(vec![entry(2, 1), entry(3, 1), entry(4, 1)]);
    assert!(torn.needs_reset(&copied), "entry 3 was never committed");
    assert!(found(vec![entry(2, 1)]).needs_reset(&copied));
    assert!(!found(vec![entry(2, 1), entry(3, 2)]).needs_reset(&copied));
}

#[test]
fn only_one_membership_change_is_uncommitted_at_a_time() {
    let mut trio = Trio::elected();
    let add = |id| Change::AddLearner {
        id: MemberId(id),
        address: format!("127.0.0.1:{id}"),
    };
    let now = trio.now;
    assert!(trio.nodes[0].change(now, &add(8)).is_ok());
    let second = trio.nodes[0].change(now, &add(9));
    assert_eq!(second, Err(NodeError::ChangeRefused));
    trio.deliver();
    assert!(trio.nodes[0].change(now, &add(9)).is_ok());
}

#[test]
fn a_new_disk_is_promoted_only_when_it_has_caught_up() {
    let mut trio = Trio::elected();
    let address = trio.nodes[0]
        .members()
        .get(MemberId(3))
        .map(|m| m.address.clone());
    let address = address.expect("a member");
    let fresh = MemberId(77);
    trio.lose(2);
    for _ in 0..40 {
        trio.now = trio.now + Duration::from_millis(100);
        trio.nodes[0]
            .join(trio.now, fresh, &address)
            .expect("it is the leader");
        trio.nodes[0].tick(trio.now);
        trio.deliver();
        assert!(
            !trio.nodes[0].members().is_voter(fresh),
            "it has no entry yet"
        );
    }
    assert!(trio.nodes[0].members().get(fresh).is_some());
    assert!(
        trio.nodes[0].members().is_voter(MemberId(3)),
        "the lost member stays a voter until then"
    );

    // It is running and replies, but has not received the snapshot.
    trio.replace(
        2,
        Node::new(trio.now, InitialState::new(fresh, 5), Settings::default()),
    );
    trio.pass(40);
    assert!(
        !trio.nodes[0].members().is_voter(fresh),
        "it has no entry yet"
    );
    assert!(trio.nodes[0].members().is_voter(MemberId(3)));

    trio.nodes[0].snapshot_sent(fresh, None);
    trio.receiver = Some(2);
    trio.pass(40);
    let voters: Vec<_> = trio.nodes[1].members().voters().collect();
    assert_eq!(voters, [MemberId(1), MemberId(2), fresh]);
}

#[test]
fn a_leader_steps_down_before_its_successor_campaigns() {
    let mut trio = Trio::elected();
    trio.nodes[0]
        .transfer(trio.now, Some(MemberId(2)))
        .expect("it is the leader");
    assert!(!trio.nodes[0].is_leader());
    assert!(!trio.nodes[0].holds_lease(trio.now));
    trio.deliver();
    assert!(trio.nodes[1].is_leader(), "without waiting for a timeout");
}

#[test]
fn proposals_are_rejected_with_a_full_disk_or_too_many_pending_bytes() {
    let mut trio = Trio::elected();
    trio.nodes[0].set_disk_full(true);
    let now = trio.now;
    let refused = trio.nodes[0].propose(now, b"x"[..].into());
    assert_eq!(refused, Err(NodeError::DiskFull));
    trio.nodes[0].set_disk_full(false);
    let big = bytes::Bytes::from(vec![0; 1 << 20]);
    let refused = (0..20).find_map(|_| trio.nodes[0].propose(now, big.clone()).err());
    assert_eq!(refused, Some(NodeError::Busy));
    trio.deliver();
    assert!(trio.nodes[0].propose(now, big).is_ok());
}

#[test]
fn messages_for_another_member_are_ignored() {
    let mut node = Node::new(
        Time::ZERO,
        InitialState::new(MemberId(77), 1),
        Settings::default(),
    );
    let now = Time::ZERO + LONG;
    node.step(now, vote(1, 3, 5, false));
    assert!(node.ready(now).write.is_none());
}

#[test]
fn leadership_outlasts_a_lease_but_not_an_election_timeout() {
    let mut trio = Trio::elected();
    let settings = Settings::default();
    let lapsed = trio.now + settings.lease + Duration::from_millis(50);
    assert!(!trio.nodes[0].holds_lease(lapsed));
    assert!(
        trio.nodes[0].is_active_leader(lapsed),
        "there is no other leader yet"
    );
    let over = trio.now + settings.election;
    assert!(!trio.nodes[0].is_active_leader(over));
    trio.nodes[0]
        .transfer(trio.now, Some(MemberId(2)))
        .expect("it is the leader");
    assert!(
        !trio.nodes[0].is_active_leader(trio.now),
        "it has transferred its leadership"
    );
}
