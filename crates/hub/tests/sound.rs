//! What the leader publishes of crashes and of sound parts, and what a new leader takes over.

mod support;

use std::time::Duration;

use clem_edge::TargetVm;
use clem_hub::{LeaderInit, LeaderState};
use clem_policy::dispatch::{
    BlockedParts, CrashParts, CrashReport, GrantOutcome, SlotRequest, Ticket, Urgency,
};
use clem_state::batch_group::BatchGroup;
use clem_types::{Epoch, PartId, Time};
use clem_wire::fleet::{FleetList, FleetListVersion, Follow};
use support::{follow, target};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn leader() -> LeaderState {
    let mut leader = LeaderState::new(LeaderInit {
        epoch: Epoch(3),
        batch_group: BatchGroup::default(),
        allowance: 10.0,
    });
    let targets: Vec<TargetVm> = (0..30).map(target).collect();
    leader.set_targets(Time::ZERO, targets);
    leader
}

/// A process that has seen no list yet.
fn joining() -> Follow {
    follow(7, FleetListVersion::default())
}

fn want(ticket: u64, parts: &[PartId]) -> SlotRequest {
    SlotRequest {
        ticket: Ticket(ticket),
        holder: "front-0".to_owned(),
        service: target(0).service,
        customer: None,
        rank: 0,
        urgency: Urgency::Online,
        final_try: true,
        on_time: Duration::from_millis(240),
        queue_timeout: Duration::from_millis(800),
        data_centre: "a".to_owned(),
        avoid: Vec::new(),
        parts: parts.to_vec(),
        stream: None,
    }
}

fn ask(leader: &mut LeaderState, now: u64, ticket: u64, parts: &[PartId]) {
    leader.dispatcher.request_slot(at(now), want(ticket, parts));
    leader.dispatcher.take_decided();
    leader.publish_parts(at(now));
}

fn end(leader: &mut LeaderState, now: u64, ticket: u64, ended: GrantOutcome) {
    leader.dispatcher.release(at(now), Ticket(ticket), ended);
    leader.dispatcher.take_decided();
    leader.publish_parts(at(now));
    leader.tick(at(now));
}

fn learn(parts: &mut CrashParts, now: u64, list: &FleetList) {
    for report in &list.crashes {
        parts.note_crash(at(now), report);
    }
    parts.note_sound_parts(at(now), &list.sound);
}

#[test]
fn a_process_that_joins_learns_when_the_crashes_were() {
    let part = PartId::of(&[b"shared"]);
    let mut leader = leader();
    ask(&mut leader, 0, 1, &[part]);
    end(&mut leader, 0, 1, GrantOutcome::Crashed);
    ask(&mut leader, 500, 2, &[part]);
    end(&mut leader, 1000, 2, GrantOutcome::Crashed);
    ask(&mut leader, 2000, 3, &[part]);
    // A process joins while the answer is on its way.
    let mut joined = CrashParts::default();
    leader.record_report(at(5000), &joining());
    let list = leader.updates(at(5000), &joining(), Vec::new());
    learn(
        &mut joined,
        5000,
        &list.expect("an update").fleet.expect("a list"),
    );
    end(&mut leader, 6000, 3, GrantOutcome::Answered);
    leader.record_report(at(6200), &joining());
    leader.tick(at(6200));
    let list = leader.updates(at(6200), &joining(), Vec::new());
    learn(
        &mut joined,
        6200,
        &list.expect("an update").fleet.expect("a list"),
    );
    assert!(leader.dispatcher.crash_reports(at(6200)).is_empty());
    let reports = joined.reports(at(6200), 1);
    assert!(reports.is_empty(), "{reports:?}");
}

#[test]
fn a_new_leader_knows_of_the_trials_under_a_block_whose_crashes_it_is_told_of() {
    let part = PartId::of(&[b"bad"]);
    let known = BlockedParts {
        parts: vec![part],
        trials: 1,
        item_trials: 3,
        age_ms: 20_000,
    };
    let crash = |number: u64| CrashReport {
        ticket: Ticket(number),
        target: format!("gone-{number}"),
        parts: vec![part],
        age_ms: 20_000,
    };
    let follow = Follow {
        blocked: vec![known.clone()],
        crashes: (0..6).map(crash).collect(),
        ..joining()
    };
    let mut leader = leader();
    leader.record_report(at(60_000), &follow);
    let taken = leader.dispatcher.blocked_parts(at(60_000));
    assert_eq!(taken, std::slice::from_ref(&known));
    let later = known.aged(Duration::from_secs(7));
    assert_eq!(leader.dispatcher.blocked_parts(at(67_000)), [later]);
}
