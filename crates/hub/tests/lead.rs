//! Updates from the leader to its followers: a follower gets the targets if and only if it lacks
//! the current list.

use std::net::SocketAddr;

use clem_edge::{TargetState, TargetVm};
use clem_hub::{LeaderInit, LeaderState};
use clem_state::batch_group::BatchGroup;
use clem_types::{Epoch, Time, Version};
use clem_wire::fleet::{FleetList, FleetListVersion, Follow, ProcessRole};

const FOLLOWERS: usize = 37;
const TARGETS: usize = 58;

fn leader() -> LeaderState {
    LeaderState::new(LeaderInit {
        epoch: Epoch(3),
        batch_group: BatchGroup::default(),
        allowance: 10.0,
    })
}

fn targets() -> Vec<TargetVm> {
    let target = |place: usize| TargetVm {
        id: format!("i-{place:010}"),
        service: "engines".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: "a".to_owned(),
        slots: 8,
        state: TargetState::Ready,
        version: None,
        started: 0,
    };
    (0..TARGETS).map(target).collect()
}

fn follow(place: usize, seen: FleetListVersion) -> Follow {
    Follow {
        holder: format!("front-{place}"),
        vm: format!("front-{place}"),
        address: None,
        role: ProcessRole::Front,
        rules: Version(0),
        announced: Some(Version(0)),
        seen,
        leaving: Vec::new(),
        blocked: Vec::new(),
        crashes: Vec::new(),
        limits: Vec::new(),
        streams: Vec::new(),
        held: Vec::new(),
        members: None,
        wait_ms: 400,
    }
}

fn list(leader: &mut LeaderState, follow: &Follow) -> Option<FleetList> {
    leader.record_report(Time::ZERO, follow);
    leader.updates(follow, Vec::new())?.fleet
}

/// Guards against quadratic traffic when a fleet restarts after a power loss: each process that
/// joins changes the process list, and resending all targets with each change would saturate the
/// leader's link.
#[test]
fn a_fleet_that_comes_back_gets_the_targets_once_each() {
    let mut leader = leader();
    leader.set_targets(Time::ZERO, targets());
    let mut seen = [FleetListVersion::default(); FOLLOWERS];
    let mut sent = 0;
    for joined in 1..=FOLLOWERS {
        for (place, seen) in seen.iter_mut().enumerate().take(joined) {
            let Some(list) = list(&mut leader, &follow(place, *seen)) else {
                continue;
            };
            sent += list.targets.map_or(0, |targets| targets.len());
            *seen = list.seen;
        }
    }
    assert_eq!(sent, FOLLOWERS * TARGETS);
}

#[test]
fn changed_targets_are_sent_to_a_follower_that_has_the_former_ones() {
    let mut leader = leader();
    leader.set_targets(Time::ZERO, targets());
    let first = list(&mut leader, &follow(1, FleetListVersion::default())).map(|list| list.seen);
    let mut changed = targets();
    changed[0].state = TargetState::Draining;
    leader.set_targets(Time::ZERO, changed.clone());
    let second = list(&mut leader, &follow(1, first.unwrap_or_default()));
    assert_eq!(second.and_then(|list| list.targets), Some(changed));
}

#[test]
fn a_list_version_of_another_leader_is_not_current() {
    let mut leader = leader();
    leader.set_targets(Time::ZERO, targets());
    let other = FleetListVersion {
        epoch: Epoch(2),
        change: 9,
        targets: 1,
    };
    let heard = list(&mut leader, &follow(1, other)).and_then(|list| list.targets);
    assert_eq!(heard.map(|targets| targets.len()), Some(TARGETS));
}

fn states(leader: &mut LeaderState) -> Vec<TargetState> {
    let list = list(leader, &follow(1, FleetListVersion::default()));
    let targets = list.and_then(|list| list.targets).unwrap_or_default();
    targets.iter().map(|target| target.state).collect()
}

#[test]
fn a_list_that_still_says_ready_does_not_bring_a_leaving_target_back() {
    let mut leader = leader();
    let mut targets = targets();
    targets.truncate(2);
    leader.set_targets(Time::ZERO, targets.clone());
    leader.note_leaving(Time::ZERO, "front-1", &[targets[0].id.clone()]);
    let left = vec![TargetState::Draining, TargetState::Ready];
    assert_eq!(states(&mut leader), left);
    leader.set_targets(Time::from_millis(900), Vec::new());
    leader.set_targets(Time::from_millis(1800), targets.clone());
    assert_eq!(states(&mut leader), left);
    targets[1].started = 7;
    leader.set_targets(Time::from_millis(2700), targets);
    assert_eq!(states(&mut leader), left);
}

#[test]
fn the_last_target_of_a_service_stays_listed_though_it_leaves() {
    let mut leader = leader();
    let mut targets = targets();
    targets.truncate(1);
    leader.set_targets(Time::ZERO, targets.clone());
    leader.note_leaving(Time::ZERO, "front-1", &[targets[0].id.clone()]);
    assert_eq!(states(&mut leader), vec![TargetState::Ready]);
}
