//! What members report of their group's voters.

mod trio;

use clem_log::{Hold, Settings};
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
