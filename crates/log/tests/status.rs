//! What members report of their group's voters.

mod trio;

use std::time::Duration;

use clem_log::{
    Ballot, Body, Hold, LogIndex, MemberId, MemberKind, Message, Settings, Term, VoteAnswer,
};
use trio::Trio;

fn elected() -> Trio {
    let mut trio = Trio::with(Settings {
        voters: 3,
        ..Settings::default()
    });
    trio.deliver();
    trio.heartbeat();
    trio
}

#[test]
fn a_leader_reports_what_the_replacement_of_a_silent_voter_waits_for() {
    let mut trio = elected();
    trio.pass(5);
    assert_eq!(trio.nodes[0].status(trio.now).vacancy, None);
    trio.lose(2);
    trio.pass(14);
    let hold = |trio: &Trio| {
        let vacancy = trio.nodes[0].status(trio.now).vacancy;
        vacancy.map(|vacancy| (vacancy.id.0, vacancy.hold))
    };
    assert_eq!(hold(&trio), Some((3, Hold::Recent)));
    trio.pass(10);
    assert_eq!(hold(&trio), Some((3, Hold::Alone)));
}

#[test]
fn a_member_without_a_leader_reports_how_many_voters_it_reaches() {
    let mut trio = elected();
    let led = trio.nodes[1].status(trio.now);
    assert_eq!(led.leaderless, None);
    trio.nodes.truncate(2);
    trio.lose(0);
    trio.pass(50);
    let status = trio.nodes[1].status(trio.now);
    assert!(status.leaderless.is_some_and(|span| span.as_secs() >= 4));
    assert_eq!((status.reachable, status.quorum), (1, 2));
}

/// Nothing told a voter from a member that was removed without being told, nor why votes were refused.
#[test]
fn members_report_how_they_answer_to_requests_for_votes() {
    let mut trio = elected();
    let ask = |trio: &mut Trio| {
        let ballot = Ballot {
            index: LogIndex(0),
            term: Term(0),
            transfer: false,
        };
        let message = Message {
            from: MemberId(2),
            to: MemberId(3),
            term: trio.nodes[2].term().next(),
            body: Body::PreVote(ballot),
        };
        trio.nodes[2].step(trio.now, message);
        let status = trio.nodes[2].status(trio.now);
        let mut answers = status.answers.into_iter();
        let answer = answers.find(|(id, _)| *id == MemberId(2));
        (status.own, answer.map(|(_, answer)| answer))
    };
    let voter = Some(MemberKind::Voter);
    assert_eq!(ask(&mut trio), (voter, Some(VoteAnswer::Led)));
    trio.now = trio.now + Duration::from_secs(5);
    assert_eq!(ask(&mut trio), (voter, Some(VoteAnswer::OldLog)));
    trio.lose(0);
    trio.pass(20);
    let asked = trio.nodes[1].status(trio.now).voters;
    let granted = asked.iter().find(|voter| voter.id == MemberId(3));
    assert!(granted.is_some_and(|voter| voter.granted.is_some()));
}

/// A group of four that should survive two lost disks looked sound until it lost them.
#[test]
fn a_leader_tells_how_many_voters_its_group_lacks() {
    let settings = Settings {
        voters: 5,
        ..Settings::default()
    };
    let mut trio = Trio::with(settings);
    trio.deliver();
    trio.heartbeat();
    assert_eq!(trio.nodes[0].status(trio.now).lacking, 2);
    assert_eq!(trio.nodes[1].status(trio.now).lacking, 0, "it doesn't lead");
    assert_eq!(Trio::elected().nodes[0].status(trio.now).lacking, 0);
}
