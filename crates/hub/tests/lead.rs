//! What a leader tells the processes that follow it.

use std::net::SocketAddr;

use clem_edge::{TargetState, TargetVm};
use clem_hub::{Lead, LeadStart};
use clem_state::batch_group::BatchGroup;
use clem_types::{Epoch, RulesVersion, Time};
use clem_wire::fleet::{FleetList, FleetListVersion, Follow, ProcessRole};

const FOLLOWERS: usize = 37;
const TARGETS: usize = 58;

fn lead() -> Lead {
    Lead::new(LeadStart {
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
        rules: RulesVersion(0),
        seen,
        held: Vec::new(),
        members: None,
        wait_ms: 400,
    }
}

fn list(lead: &mut Lead, follow: &Follow) -> Option<FleetList> {
    lead.hear(Time::ZERO, follow);
    lead.news(follow, Vec::new())?.fleet
}

/// The load: all processes of a fleet come back together after a loss of power, and each of them
/// changes the list of processes; the leader's link is slow.
#[test]
fn a_fleet_that_comes_back_gets_the_targets_once_each() {
    let mut lead = lead();
    lead.set_targets(Time::ZERO, targets());
    let mut seen = [FleetListVersion::default(); FOLLOWERS];
    let mut sent = 0;
    for joined in 1..=FOLLOWERS {
        for (place, seen) in seen.iter_mut().enumerate().take(joined) {
            let Some(list) = list(&mut lead, &follow(place, *seen)) else {
                continue;
            };
            sent += list.targets.map_or(0, |targets| targets.len());
            *seen = list.seen;
        }
    }
    assert_eq!(sent, FOLLOWERS * TARGETS);
}

#[test]
fn changed_targets_are_told_to_everybody() {
    let mut lead = lead();
    lead.set_targets(Time::ZERO, targets());
    let first = list(&mut lead, &follow(1, FleetListVersion::default())).map(|list| list.seen);
    let mut changed = targets();
    changed[0].state = TargetState::Draining;
    lead.set_targets(Time::ZERO, changed.clone());
    let second = list(&mut lead, &follow(1, first.unwrap_or_default()));
    assert_eq!(second.and_then(|list| list.targets), Some(changed));
}

#[test]
fn another_leaders_numbers_are_not_taken_for_its_own() {
    let mut lead = lead();
    lead.set_targets(Time::ZERO, targets());
    let other = FleetListVersion {
        epoch: Epoch(2),
        change: 9,
        targets: 1,
    };
    let heard = list(&mut lead, &follow(1, other)).and_then(|list| list.targets);
    assert_eq!(heard.map(|targets| targets.len()), Some(TARGETS));
}
