//! The leader's soft state: leases, rules updates, the fleet view and orders.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{collections::BTreeSet, time::Duration};

use clem_control::leader::{History, LEASE, LeaderState, PlatformVm};
use clem_rules::{Rules, parse};
use clem_types::{Epoch, FenceNumber, Incarnation, Time, Version};
use clem_wire::sync::{
    FleetStamp, Holder, LoadedModel, ModelState, Role, Serves, Sync, TargetReport,
};

const RULES: &str = "\
customer.totara = { rate = \"20/s\", burst = 40 } # asked by Mere
route.chat = { model = \"m\", version = 1 } # asked by Ana
target.t1 = { address = \"127.0.0.1:7001\", data_centre = \"a\" } # asked by Ana
target.t2 = { address = \"127.0.0.1:7002\", data_centre = \"b\" } # asked by Ana
";

fn rules(version: u64) -> Rules {
    let text =
        format!("{RULES}customer.c{version} = {{ rate = \"1/s\", burst = 1 }} # asked by Mere");
    parse(&text, Version(version)).unwrap()
}

fn secs(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

/// The state of a process that became leader at time 0.
fn lead() -> LeaderState {
    LeaderState::new(Epoch(5), Time::ZERO, rules(1), BTreeSet::new())
}

fn call(id: &str, role: Role, incarnation: u64, version: u64) -> Sync {
    Sync {
        holder: Holder {
            id: id.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            role,
            data_centre: "a".parse().unwrap(),
            address: "127.0.0.1:9000".parse().unwrap(),
        },
        rules: Version(version),
        fleet: FleetStamp::default(),
        poison: Version(0),
        report: None,
        stopping: false,
        wait_ms: 0,
    }
}

fn agent(number: u16, incarnation: u64) -> Sync {
    let mut call = call(&format!("agent-{number}"), Role::Agent, incarnation, 1);
    call.report = Some(TargetReport {
        address: format!("127.0.0.1:{}", 7000 + number).parse().unwrap(),
        alive: true,
        models: vec![LoadedModel {
            model: "m".parse().unwrap(),
            version: clem_types::ModelVersion(1),
            adapters: Vec::new(),
            state: ModelState::Ready,
        }],
        load: clem_wire::sync::Load::default(),
        draining: false,
        fence: FenceNumber(0),
        results: Vec::new(),
    });
    call
}

fn sync(lead: &mut LeaderState, call: &Sync, now: Time) {
    lead.handle_sync(call, now);
    lead.grant(call, now, now);
}

// ---------------------------------------------------------------------------------------------
// Leases

#[test]
fn a_new_leader_waits_until_unknown_leases_have_expired() {
    let lead = lead();
    assert!(!lead.leases.in_force(Version(1), secs(3)));
    assert!(lead.leases.in_force(Version(1), secs(4)));
}

#[test]
fn a_version_is_in_force_when_every_holder_confirmed_it_or_lost_its_lease() {
    let mut lead = lead();
    let [entry, frozen] = ["entry-1", "entry-2"].map(|id| call(id, Role::Entry, 1, 1));
    sync(&mut lead, &entry, secs(10));
    sync(&mut lead, &frozen, secs(10));
    lead.history.push(rules(2));
    assert!(!lead.leases.in_force(Version(2), secs(10)));
    sync(&mut lead, &call("entry-1", Role::Entry, 1, 2), secs(11));
    let waiting = lead.leases.behind(Version(2), secs(11));
    assert_eq!(waiting, vec![frozen.holder.id.clone()]);
    // The holder blocks the version until its lease has certainly expired.
    assert!(!lead.leases.in_force(Version(2), secs(13)));
    assert!(lead.leases.in_force(Version(2), secs(14)));
}

#[test]
fn a_holder_never_uses_a_lease_longer_than_the_leader_assumes() {
    let mut lead = lead();
    let entry = call("entry-1", Role::Entry, 1, 1);
    // The call was held for a second; the holder counts the lease from when it sent the call.
    let (asked, now) = (secs(10), secs(11));
    lead.handle_sync(&entry, asked);
    let granted = Duration::from_millis(lead.grant(&entry, asked, now).into());
    assert_eq!(granted, Duration::from_secs(1) + LEASE);
    let holder_end = asked + granted;
    assert!(
        lead.leases
            .holds(&entry.holder.id, Incarnation(1), holder_end)
    );
}

#[test]
fn a_reordered_call_with_an_older_version_keeps_the_confirmation() {
    let mut lead = lead();
    lead.history.push(rules(2));
    sync(&mut lead, &call("entry-1", Role::Entry, 1, 2), secs(10));
    sync(&mut lead, &call("entry-1", Role::Entry, 1, 1), secs(10));
    assert!(lead.leases.in_force(Version(2), secs(10)));
    // A new incarnation has not confirmed anything.
    sync(&mut lead, &call("entry-1", Role::Entry, 2, 0), secs(10));
    assert!(!lead.leases.in_force(Version(2), secs(10)));
}

// ---------------------------------------------------------------------------------------------
// Rules updates

#[test]
fn a_holder_is_updated_from_any_version_to_the_newest() {
    let mut history = History::new(rules(1));
    for version in 2..=100 {
        history.push(rules(version));
    }
    for from in [0, 1, 40, 60, 99] {
        let mut held = Rules::default();
        if from > 0 {
            assert!(held.apply(rules(from).full_delta()));
        }
        let delta = history.delta(Version(from)).unwrap();
        assert!(held.apply(delta), "from {from}");
        assert_eq!(held, rules(100));
    }
    assert_eq!(history.delta(Version(100)), None);
    // A holder that got a newer version from another leader is never downgraded.
    assert_eq!(history.delta(Version(101)), None);
    history.push(rules(50));
    assert_eq!(history.rules().version(), Version(100));
}

// ---------------------------------------------------------------------------------------------
// The fleet

fn open(lead: &LeaderState) -> Vec<String> {
    let shown = lead.fleet.views().values();
    shown
        .filter(|view| view.open)
        .map(|view| view.target.to_string())
        .collect()
}

#[test]
fn a_target_is_open_while_the_lease_of_its_agent_is_valid() {
    let mut lead = lead();
    sync(&mut lead, &agent(1, 1), secs(10));
    sync(&mut lead, &agent(2, 1), secs(10));
    assert_eq!(open(&lead), ["t1", "t2"]);
    sync(&mut lead, &agent(2, 1), secs(12));
    lead.refresh(secs(14));
    assert_eq!(open(&lead), ["t2"]);
    // The agent returns as a new incarnation, which entries are told about.
    let stamp = lead.fleet.stamp();
    sync(&mut lead, &agent(1, 2), secs(14));
    let change = lead.fleet.delta(stamp).unwrap();
    assert!(!change.whole);
    assert_eq!(change.targets[0].incarnation, Incarnation(2));
    assert!(matches!(change.targets[0].serves, Serves::Models(_)));
}

#[test]
fn drain_orders_stopping_agents_and_the_platform_list_close_a_target() {
    let mut lead = lead();
    sync(&mut lead, &agent(1, 1), secs(10));
    let mut stopping = agent(2, 1);
    stopping.stopping = true;
    sync(&mut lead, &stopping, secs(10));
    assert_eq!(open(&lead), ["t1"]);
    lead.drained.insert("t1".parse().unwrap());
    lead.refresh(secs(10));
    assert!(open(&lead).is_empty());
    lead.drained.clear();
    let vm = |leaving| PlatformVm {
        address: "127.0.0.1:7001".parse().unwrap(),
        leaving,
    };
    lead.fleet.record_platform_list(&[vm(true)]);
    lead.refresh(secs(10));
    assert!(open(&lead).is_empty());
    lead.fleet.record_platform_list(&[vm(false)]);
    lead.refresh(secs(10));
    assert_eq!(open(&lead), ["t1"]);
}

#[test]
fn an_empty_list_empties_no_fleet() {
    let mut lead = lead();
    sync(&mut lead, &agent(1, 1), secs(10));
    sync(&mut lead, &agent(2, 1), secs(10));
    lead.fleet.record_platform_list(&[]);
    lead.refresh(secs(10));
    assert_eq!(open(&lead), ["t1", "t2"]);
}

#[test]
fn a_new_leader_removes_no_target_before_its_view_is_complete() {
    let mut lead = lead();
    let old = FleetStamp {
        epoch: Epoch(4),
        change: 70,
    };
    sync(&mut lead, &agent(1, 1), secs(1));
    let early = lead.fleet.delta(old).unwrap();
    assert!(
        !early.whole,
        "the entry keeps the targets of the former leader"
    );
    assert_eq!(early.targets.len(), 1);
    sync(&mut lead, &agent(1, 1), secs(4));
    lead.refresh(secs(4));
    let late = lead.fleet.delta(early.stamp).unwrap();
    assert!(late.whole, "the view is complete now");
    assert_eq!(late.targets.len(), 1);
    assert_eq!(lead.fleet.delta(late.stamp), None);
}

#[test]
fn changes_merge_into_the_whole_view() {
    let mut lead = lead();
    lead.refresh(secs(4));
    let start = lead.fleet.stamp();
    for round in 0..20 {
        let mut one = agent(1 + round % 2, 1);
        if let Some(report) = &mut one.report {
            report.draining = round % 3 == 0;
        }
        sync(&mut lead, &one, secs(10));
    }
    let change = lead.fleet.delta(start).unwrap();
    let whole = lead.fleet.views();
    assert_eq!(change.targets.len(), whole.len());
    for view in change.targets {
        assert_eq!(whole.get(&view.target), Some(&view));
    }
}

// ---------------------------------------------------------------------------------------------
// Orders

#[test]
fn an_order_is_sent_once_to_each_incarnation() {
    let mut lead = lead();
    let first = agent(1, 1);
    sync(&mut lead, &first, secs(10));
    assert!(lead.has_new_order(&first, FenceNumber(7)));
    lead.mark_sent(&first, FenceNumber(7));
    assert!(!lead.has_new_order(&first, FenceNumber(7)));
    assert!(lead.has_new_order(&first, FenceNumber(8)));
    let second = agent(1, 2);
    sync(&mut lead, &second, secs(10));
    assert!(lead.has_new_order(&second, FenceNumber(7)));
}

#[test]
fn an_item_to_stop_is_sent_once() {
    let mut lead = lead();
    let first = agent(1, 1);
    sync(&mut lead, &first, secs(10));
    let item = clem_wire::sync::ItemRef {
        batch: clem_types::BatchId(1),
        item: clem_types::ItemIndex(2),
    };
    lead.stop_item(&first.holder.id, item);
    assert_eq!(lead.updates(&first).cancelled, [item]);
    lead.mark_sent(&first, FenceNumber(0));
    // Sent again in every reply, it would make the agent call without a pause.
    assert!(lead.updates(&first).cancelled.is_empty());
}
