//! Members that are about to stop for good, or are started again.

mod trio;

use clem_log::{Departure, InitialState, MemberId, Node, Settings};
use clem_types::Time;
use trio::Trio;

const SPARE: &str = "127.0.0.1:7004";
const THIRD: MemberId = MemberId(3);

fn settings() -> Settings {
    Settings {
        voters: 3,
        ..Settings::default()
    }
}

fn elected() -> Trio {
    let mut trio = Trio::with(settings());
    trio.deliver();
    trio.heartbeat();
    trio
}

fn with_spare() -> Trio {
    let mut trio = elected();
    let spare = Node::new(Time::ZERO, InitialState::new(MemberId(4), 4), settings());
    trio.nodes.push(spare);
    trio.receiver = Some(3);
    let refused = trio.nodes[0].join(trio.now, MemberId(4), SPARE);
    assert!(refused.is_err(), "no voter is missing");
    trio
}

fn voters(trio: &Trio) -> Vec<u64> {
    trio.nodes[0].members().voters().map(|id| id.0).collect()
}

/// Asks for a member until it may stop, for at most 40 steps; returns whether it may.
fn depart(trio: &mut Trio, id: MemberId) -> bool {
    for _ in 0..40 {
        if trio.nodes[0].depart(trio.now, id) == Ok(Departure::Go) {
            return true;
        }
        let _ = trio.nodes[0].join(trio.now, MemberId(4), SPARE);
        trio.pass(1);
    }
    false
}

#[test]
fn a_member_that_nobody_can_replace_stops_at_once_if_the_others_have_a_quorum() {
    let mut trio = elected();
    trio.pass(5);
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Go));
}

/// A planned stop took the vote that the group needed while another member was lost.
#[test]
fn a_member_whose_vote_is_needed_waits() {
    let mut trio = elected();
    trio.lose(1);
    trio.pass(12);
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Wait));
    trio.find();
    trio.pass(12);
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Go));
}

#[test]
fn members_that_stop_together_do_not_wait_for_each_other() {
    let mut trio = elected();
    trio.pass(5);
    assert_eq!(
        trio.nodes[0].depart(trio.now, MemberId(2)),
        Ok(Departure::Go)
    );
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Wait));
    assert_eq!(
        trio.nodes[0].depart(trio.now, MemberId(1)),
        Ok(Departure::Go)
    );
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Go));
}

/// A member that had stopped earlier made the next stop look like one of the whole group.
#[test]
fn a_member_whose_vote_is_needed_waits_after_another_one_stopped() {
    let mut trio = elected();
    trio.pass(5);
    assert_eq!(
        trio.nodes[0].depart(trio.now, MemberId(2)),
        Ok(Departure::Go)
    );
    trio.lose(1);
    trio.pass(40);
    assert!(trio.nodes[0].is_leader());
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Wait));
}

/// A leader that has just been elected took members for running that it had not heard from.
#[test]
fn a_leader_that_stops_waits_if_its_vote_is_needed() {
    let mut trio = elected();
    trio.lose(1);
    trio.pass(12);
    let passed = trio.nodes[0].transfer(trio.now, Some(THIRD));
    assert!(passed.is_ok());
    trio.deliver();
    assert!(trio.nodes[2].is_leader());
    assert_eq!(
        trio.nodes[2].depart(trio.now, MemberId(1)),
        Ok(Departure::Wait)
    );
}

/// A member that stopped for good stayed a voter until it was silent for long enough.
#[test]
fn a_member_that_stops_is_replaced_first_if_a_process_asks_to_join() {
    let mut trio = with_spare();
    assert!(depart(&mut trio, THIRD), "it waits for ever");
    assert_eq!(voters(&trio), [1, 2, 4]);
}

#[test]
fn a_member_that_was_started_again_is_no_longer_replaced() {
    let mut trio = elected();
    trio.pass(5);
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Go));
    trio.pass(20);
    let spare = Node::new(Time::ZERO, InitialState::new(MemberId(4), 4), settings());
    trio.nodes.push(spare);
    trio.receiver = Some(3);
    for _ in 0..30 {
        let _ = trio.nodes[0].join(trio.now, MemberId(4), SPARE);
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 3]);
}

/// A member that was gone got the leadership, as the one that ran was about to stop.
#[test]
fn leadership_goes_to_a_member_that_runs() {
    let mut trio = elected();
    trio.lose(2);
    trio.pass(20);
    assert_eq!(
        trio.nodes[0].depart(trio.now, MemberId(2)),
        Ok(Departure::Wait)
    );
    assert!(trio.nodes[0].transfer(trio.now, None).is_ok());
    trio.deliver();
    assert!(trio.nodes[1].is_leader());
}

/// Lets the spare catch up while the third member is gone but does not count as lost yet.
fn with_spare_while_the_third_is_gone() -> Trio {
    let mut trio = with_spare();
    trio.lose(2);
    for _ in 0..15 {
        let _ = trio.nodes[0].join(trio.now, MemberId(4), SPARE);
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 3]);
    assert_eq!(trio.nodes[0].learners(trio.now).len(), 1);
    trio
}

/// A member whose disk comes back was removed in place of one that was gone, which left two of three.
#[test]
fn a_member_that_stops_is_not_replaced_before_one_that_is_gone() {
    let mut trio = with_spare_while_the_third_is_gone();
    for _ in 0..20 {
        let _ = trio.nodes[0].depart(trio.now, MemberId(2));
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 4]);
}

#[test]
fn a_leader_that_stops_is_not_replaced_before_a_member_that_is_gone() {
    let mut trio = with_spare_while_the_third_is_gone();
    let passed = trio.nodes[0].transfer(trio.now, Some(MemberId(2)));
    assert!(passed.is_ok());
    trio.deliver();
    for _ in 0..30 {
        let _ = trio.nodes[1].depart(trio.now, MemberId(1));
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 4]);
}

/// The machine of a retired member is taken away with its disk, so that the same left two of three.
#[test]
fn a_member_that_is_retired_is_not_replaced_before_one_that_is_gone() {
    let mut trio = with_spare_while_the_third_is_gone();
    for node in &mut trio.nodes {
        node.set_leaving(&["127.0.0.1:7002".to_owned()]);
    }
    trio.pass(20);
    assert_eq!(voters(&trio), [1, 2, 4]);
}

/// What a member had said to a leader was lost with that leader's office.
#[test]
fn a_new_leader_knows_who_has_stopped() {
    let mut trio = elected();
    trio.pass(5);
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Go));
    trio.lose(2);
    trio.pass(5);
    let passed = trio.nodes[0].transfer(trio.now, Some(MemberId(2)));
    assert!(passed.is_ok());
    trio.deliver();
    let spare = Node::new(Time::ZERO, InitialState::new(MemberId(4), 4), settings());
    trio.nodes.push(spare);
    trio.receiver = Some(3);
    for _ in 0..12 {
        let _ = trio.nodes[1].join(trio.now, MemberId(4), SPARE);
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 4]);
}

/// Two members that waited to stop passed leadership back and forth, and neither replaced the lost one.
#[test]
fn a_lost_member_is_replaced_while_both_others_wait_to_stop() {
    let mut trio = with_spare();
    trio.lose(2);
    trio.pass(12);
    for _ in 0..40 {
        for member in 0..2 {
            let _ = trio.nodes[member].transfer(trio.now, None);
            trio.deliver();
            let id = trio.nodes[member].id();
            for node in &mut trio.nodes[..2] {
                let _ = node.depart(trio.now, id);
                let _ = node.join(trio.now, MemberId(4), SPARE);
            }
        }
        trio.pass(1);
    }
    let leader = trio.nodes.iter().find(|node| node.is_leader());
    let members = leader.expect("one leads").members();
    assert!(!members.is_voter(THIRD), "{members:?}");
}

/// Retires the third member and lets the spare take its place.
fn with_third_retired() -> Trio {
    let mut trio = with_spare();
    for node in &mut trio.nodes {
        node.set_leaving(&["127.0.0.1:7003".to_owned()]);
    }
    for _ in 0..20 {
        let _ = trio.nodes[0].join(trio.now, MemberId(4), SPARE);
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 4]);
    trio
}

/// Lets the retired member ask to join for some steps.
fn ask_again(trio: &mut Trio, steps: usize) {
    for _ in 0..steps {
        trio.nodes[0].set_leaving(&["127.0.0.1:7003".to_owned()]);
        let _ = trio.nodes[0].join(trio.now, THIRD, "127.0.0.1:7003");
        trio.pass(1);
    }
}

/// A retired member took the place of a lost one, and its disk was taken away.
#[test]
fn a_retired_member_does_not_become_a_voter_again() {
    let mut trio = with_third_retired();
    trio.lose(1);
    ask_again(&mut trio, 40);
    assert_eq!(voters(&trio), [1, 2, 4]);
    assert!(trio.nodes[0].learners(trio.now).is_empty());
}

/// A spare that was retired was promoted, as only the retirement of voters was looked at.
#[test]
fn a_spare_that_is_retired_is_not_promoted() {
    let mut trio = with_spare_while_the_third_is_gone();
    for _ in 0..20 {
        trio.nodes[0].set_leaving(&[SPARE.to_owned()]);
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 3]);
}

/// A member that stops waited for a spare that never takes its place.
#[test]
fn a_member_that_stops_does_not_wait_for_a_retired_spare() {
    let mut trio = with_third_retired();
    ask_again(&mut trio, 1);
    let reply = trio.nodes[0].depart(trio.now, MemberId(2));
    assert_eq!(reply, Ok(Departure::Go));
}

/// The group could bear no lost disk, while a process with a good one ran.
#[test]
fn a_retired_process_becomes_a_voter_if_voters_are_missing() {
    let mut trio = elected();
    trio.lose(2);
    let removed = trio.nodes[0].change(trio.now, &clem_log::Change::Remove(THIRD));
    assert!(removed.is_ok());
    trio.deliver();
    trio.find();
    ask_again(&mut trio, 20);
    assert_eq!(voters(&trio), [1, 2, 3]);
}

/// Of two members that leave, the one that still runs lost its vote, or both were waited for.
#[test]
fn of_members_that_leave_one_that_has_stopped_is_replaced_first() {
    let mut trio = elected();
    trio.pass(5);
    assert_eq!(trio.nodes[0].depart(trio.now, THIRD), Ok(Departure::Go));
    trio.lose(2);
    trio.pass(10);
    let spare = Node::new(Time::ZERO, InitialState::new(MemberId(4), 4), settings());
    trio.nodes.push(spare);
    trio.receiver = Some(3);
    trio.nodes[0].set_leaving(&["127.0.0.1:7002".to_owned()]);
    for _ in 0..5 {
        let _ = trio.nodes[0].join(trio.now, MemberId(4), SPARE);
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 4]);
}

/// Logs called a spare unneeded that waited until a silent voter counted as lost.
#[test]
fn a_spare_that_waits_for_a_voter_to_count_as_lost_is_not_called_unneeded() {
    let trio = with_spare_while_the_third_is_gone();
    let learners = trio.nodes[0].learners(trio.now);
    assert_eq!(learners[0].hold, clem_log::Hold::Recent);
}

/// A learner that was about to stop was promoted, and its vote was missing at once.
#[test]
fn a_learner_that_stops_is_not_promoted() {
    let mut trio = with_spare_while_the_third_is_gone();
    for _ in 0..20 {
        let reply = trio.nodes[0].depart(trio.now, MemberId(4));
        assert_eq!(reply, Ok(Departure::Go));
        trio.pass(1);
    }
    assert_eq!(voters(&trio), [1, 2, 3]);
}

/// A member that was retired and one that stopped passed leadership back and forth.
#[test]
fn leadership_is_not_passed_between_a_retired_member_and_one_that_stops() {
    let mut trio = elected();
    trio.lose(2);
    trio.pass(12);
    let mut leaders = Vec::new();
    for _ in 0..60 {
        for node in &mut trio.nodes {
            node.set_leaving(&["127.0.0.1:7001".to_owned()]);
        }
        let now = trio.now;
        let _ = trio.nodes[1].depart(now, MemberId(2));
        let _ = trio.nodes[1].transfer(now, None);
        let _ = trio.nodes[0].depart(now, MemberId(2));
        trio.pass(1);
        let leader = trio.nodes.iter().find(|node| node.is_leader());
        leaders.extend(leader.map(|node| node.id().0));
    }
    leaders.dedup();
    assert!(leaders.len() <= 2, "{leaders:?}");
}

/// A stop was known only to the leader that was asked, so the next one passed leadership to it.
#[test]
fn a_member_that_is_elected_knows_who_has_said_that_it_stops() {
    let mut trio = elected();
    trio.pass(5);
    let asked = trio.nodes[2].depart(trio.now, MemberId(2));
    assert!(asked.is_err(), "it doesn't lead");
    let passed = trio.nodes[0].transfer(trio.now, Some(THIRD));
    assert!(passed.is_ok());
    trio.deliver();
    assert!(trio.nodes[2].is_leader());
    trio.pass(2);
    assert!(trio.nodes[2].transfer(trio.now, None).is_ok());
    trio.deliver();
    assert!(trio.nodes[0].is_leader());
}

/// A leader stopped before its transfer was finished: the group had none for an election timeout.
#[test]
fn a_leader_waits_until_its_transfer_is_finished() {
    let mut trio = elected();
    trio.pass(5);
    trio.sync_entries = false;
    let written = trio.nodes[0].propose(trio.now, b"x"[..].into());
    assert!(written.is_ok());
    trio.deliver();
    let own = MemberId(1);
    assert!(trio.nodes[0].transfer(trio.now, None).is_ok());
    assert!(trio.nodes[0].is_leader());
    assert_eq!(trio.nodes[0].depart(trio.now, own), Ok(Departure::Wait));
}
