//! The leader's soft state: leases, the view of the fleet, and changes of the rules.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

use std::{collections::BTreeSet, time::Duration};

use clem_control::lead::{History, LEASE, Lead, PlatformVm};
use clem_rules::{Rules, parse};
use clem_types::{Epoch, FenceNumber, Incarnation, RulesVersion, Time};
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
    parse(&text, RulesVersion(version)).unwrap()
}

fn secs(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

/// A leader that took office at 0, seen once it knows all leases.
fn lead() -> Lead {
    Lead::new(Epoch(5), Time::ZERO, rules(1), BTreeSet::new())
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
        rules: RulesVersion(version),
        fleet: FleetStamp::default(),
        poison: RulesVersion(0),
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

fn sync(lead: &mut Lead, call: &Sync, now: Time) {
    lead.hear(call, now);
    lead.grant(call, now, now);
}

// ---------------------------------------------------------------------------------------------
// Leases

#[test]
fn a_new_leader_waits_out_leases_that_it_does_not_know() {
    let lead = lead();
    assert!(!lead.leases.in_force(RulesVersion(1), secs(3)));
    assert!(lead.leases.in_force(RulesVersion(1), secs(4)));
}

#[test]
fn a_version_is_in_force_when_each_holder_has_confirmed_it_or_lost_its_lease() {
    let mut lead = lead();
    let [entry, frozen] = ["entry-1", "entry-2"].map(|id| call(id, Role::Entry, 1, 1));
    sync(&mut lead, &entry, secs(10));
    sync(&mut lead, &frozen, secs(10));
    lead.history.push(rules(2));
    assert!(!lead.leases.in_force(RulesVersion(2), secs(10)));
    sync(&mut lead, &call("entry-1", Role::Entry, 1, 2), secs(11));
    let waiting = lead.leases.waiting(RulesVersion(2), secs(11));
    assert_eq!(waiting, vec![frozen.holder.id.clone()]);
    // Until its lease has surely run out, and not from then on.
    assert!(!lead.leases.in_force(RulesVersion(2), secs(13)));
    assert!(lead.leases.in_force(RulesVersion(2), secs(14)));
}

#[test]
fn a_lease_never_outlives_what_the_leader_counts() {
    let mut lead = lead();
    let entry = call("entry-1", Role::Entry, 1, 1);
    // The call was held for a second: the holder counts from when it asked.
    let (asked, now) = (secs(10), secs(11));
    lead.hear(&entry, asked);
    let granted = Duration::from_millis(lead.grant(&entry, asked, now).into());
    assert_eq!(granted, Duration::from_secs(1) + LEASE);
    let holder_end = asked + granted;
    assert!(
        lead.leases
            .holds(&entry.holder.id, Incarnation(1), holder_end)
    );
}

#[test]
fn a_call_of_an_older_version_takes_no_confirmation_back() {
    let mut lead = lead();
    lead.history.push(rules(2));
    sync(&mut lead, &call("entry-1", Role::Entry, 1, 2), secs(10));
    sync(&mut lead, &call("entry-1", Role::Entry, 1, 1), secs(10));
    assert!(lead.leases.in_force(RulesVersion(2), secs(10)));
    // A new life of the process has confirmed nothing.
    sync(&mut lead, &call("entry-1", Role::Entry, 2, 0), secs(10));
    assert!(!lead.leases.in_force(RulesVersion(2), secs(10)));
}

// ---------------------------------------------------------------------------------------------
// Changes of the rules

#[test]
fn a_holder_is_led_from_any_version_to_the_newest() {
    let mut history = History::new(rules(1));
    for version in 2..=100 {
        history.push(rules(version));
    }
    for from in [0, 1, 40, 60, 99] {
        let mut held = Rules::default();
        if from > 0 {
            assert!(held.apply(rules(from).whole()));
        }
        let delta = history.delta(RulesVersion(from)).unwrap();
        assert!(held.apply(delta), "from {from}");
        assert_eq!(held, rules(100));
    }
    assert_eq!(history.delta(RulesVersion(100)), None);
    // A version of the future, known by a holder of another leader, is never led back.
    assert_eq!(history.delta(RulesVersion(101)), None);
    history.push(rules(50));
    assert_eq!(history.rules().version(), RulesVersion(100));
}

// ---------------------------------------------------------------------------------------------
// The fleet

fn open(lead: &Lead) -> Vec<String> {
    let shown = lead.fleet.shown().values();
    shown
        .filter(|view| view.open)
        .map(|view| view.target.to_string())
        .collect()
}

#[test]
fn a_target_counts_while_the_lease_of_its_agent_holds() {
    let mut lead = lead();
    sync(&mut lead, &agent(1, 1), secs(10));
    sync(&mut lead, &agent(2, 1), secs(10));
    assert_eq!(open(&lead), ["t1", "t2"]);
    sync(&mut lead, &agent(2, 1), secs(12));
    lead.refresh(secs(14));
    assert_eq!(open(&lead), ["t2"]);
    // It comes back, as a new life, with news for entries.
    let stamp = lead.fleet.stamp();
    sync(&mut lead, &agent(1, 2), secs(14));
    let change = lead.fleet.delta(stamp).unwrap();
    assert!(!change.whole);
    assert_eq!(change.targets[0].incarnation, Incarnation(2));
    assert!(matches!(change.targets[0].serves, Serves::Models(_)));
}

#[test]
fn drain_marks_stops_and_the_list_close_a_target() {
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
    lead.fleet.hear_platform(&[vm(true)]);
    lead.refresh(secs(10));
    assert!(open(&lead).is_empty());
    lead.fleet.hear_platform(&[vm(false)]);
    lead.refresh(secs(10));
    assert_eq!(open(&lead), ["t1"]);
}

#[test]
fn an_empty_list_empties_no_fleet() {
    let mut lead = lead();
    sync(&mut lead, &agent(1, 1), secs(10));
    sync(&mut lead, &agent(2, 1), secs(10));
    lead.fleet.hear_platform(&[]);
    lead.refresh(secs(10));
    assert_eq!(open(&lead), ["t1", "t2"]);
}

#[test]
fn a_new_leader_takes_no_target_from_entries_before_it_knows() {
    let mut lead = lead();
    let old = FleetStamp {
        epoch: Epoch(4),
        change: 70,
    };
    sync(&mut lead, &agent(1, 1), secs(1));
    let early = lead.fleet.delta(old).unwrap();
    assert!(!early.whole, "what the entry has from before stays");
    assert_eq!(early.targets.len(), 1);
    sync(&mut lead, &agent(1, 1), secs(4));
    lead.refresh(secs(4));
    let late = lead.fleet.delta(early.stamp).unwrap();
    assert!(late.whole, "now the view is known in full");
    assert_eq!(late.targets.len(), 1);
    assert_eq!(lead.fleet.delta(late.stamp), None);
}

#[test]
fn changes_add_up_to_the_whole_view() {
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
    let whole = lead.fleet.shown();
    assert_eq!(change.targets.len(), whole.len());
    for view in change.targets {
        assert_eq!(whole.get(&view.target), Some(&view));
    }
}

// ---------------------------------------------------------------------------------------------
// Orders

#[test]
fn a_holder_is_told_of_an_order_once_in_each_life() {
    let mut lead = lead();
    let first = agent(1, 1);
    sync(&mut lead, &first, secs(10));
    assert!(lead.is_untold(&first, FenceNumber(7)));
    lead.tell(&first, FenceNumber(7));
    assert!(!lead.is_untold(&first, FenceNumber(7)));
    assert!(lead.is_untold(&first, FenceNumber(8)));
    let second = agent(1, 2);
    sync(&mut lead, &second, secs(10));
    assert!(lead.is_untold(&second, FenceNumber(7)));
}

#[test]
fn an_item_that_must_stop_is_told_once() {
    let mut lead = lead();
    let first = agent(1, 1);
    sync(&mut lead, &first, secs(10));
    let item = clem_wire::sync::ItemRef {
        batch: clem_types::BatchId(1),
        item: clem_types::ItemIndex(2),
    };
    lead.stop_item(&first.holder.id, item);
    assert_eq!(lead.news(&first).cancelled, [item]);
    lead.tell(&first, FenceNumber(0));
    // Told for ever, it would keep the agent asking without a pause.
    assert!(lead.news(&first).cancelled.is_empty());
}
